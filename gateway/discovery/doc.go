// Package discovery keeps the configuration and the backend servers up to date
// from the object store.
package discovery
