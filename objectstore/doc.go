// Package objectstore defines the interfaces to the platform: its object API, which stores
// persistent state, and its list of live and leaving instances.
//
// Callers depend on Store only. Production code uses the HTTP client of httpstore behind the
// request budget of budgeted; tests use other implementations.
package objectstore
