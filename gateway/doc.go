// Package gateway assembles an instance that forwards requests to backend
// servers by the operators' table of routes.
package gateway
