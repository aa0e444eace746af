// Package filter removes the servers that must not or should not be chosen.
//
// A Filter is absolute: a server that one of them removes is never chosen.
// A Preference narrows the remaining servers and gives way when none is left.
// Both look at one snapshot.View and keep no state.
package filter
