// Package ingress accepts clients' connections, reads their requests, and writes
// the answers that a handler gives. It does not choose routes or backend servers.
package ingress
