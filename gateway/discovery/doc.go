// Package discovery keeps an instance's configuration and list of backend servers up to
// date from the object store. It does not fetch them from peers: package peers does.
package discovery
