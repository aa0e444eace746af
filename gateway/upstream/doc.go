// Package upstream opens connections to backend servers, sends requests and reads
// answers over them, and pools idle ones. It does not choose servers and does not
// retry.
package upstream
