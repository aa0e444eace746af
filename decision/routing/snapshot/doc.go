// Package snapshot holds the input of one routing choice.
//
// Build makes an immutable Snapshot of each configuration revision: the backend
// servers grouped by service, model and version, the rules and the shifts. A View
// joins it with one request and with the state of the servers, which is read per
// server through StateSource, so that a choice among few servers of a large
// estate stays cheap. The package chooses no server.
package snapshot
