// Package snapshot holds what one routing choice looks at.
//
// A Snapshot is built once per configuration revision and never changes: the
// backend servers grouped by what they serve, the rules and the shifts. A View
// joins it with one request and with the current state of the servers, which
// is read per server through StateSource, so that a choice among few servers
// of a large estate stays cheap.
package snapshot
