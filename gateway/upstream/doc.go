// Package upstream holds the connections to backend servers.
package upstream
