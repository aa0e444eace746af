// Package snapshot holds the input of one routing choice.
//
// Build makes a Snapshot of each configuration revision: the backend servers
// grouped by service, model and version, the rules and the shifts. A Snapshot
// doesn't change. A View joins it with one request and with the current state
// of the servers. That state is read through StateSource for one server at a
// time, so that a choice among few servers of a large estate stays cheap. The
// package chooses no server.
package snapshot
