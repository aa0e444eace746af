// Package gateway assembles and runs an instance that forwards requests to
// backend servers by the operators' table of routes. It takes the settings and
// the adapters to the platform; it does not read the settings or handle signals
// itself.
package gateway
