// Package objectstore talks to the platform around the system: its object API,
// which keeps what must last, and its list of live and leaving instances.
//
// Store is the seam: production code uses the HTTP client through a request
// budget; tests use any other implementation.
package objectstore
