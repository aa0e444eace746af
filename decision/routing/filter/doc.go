// Package filter removes the servers that must not or should not be chosen.
//
// A Filter is mandatory: a server that one of them removes is never chosen. A
// Preference narrows the remaining servers and is ignored when it would leave
// none. Both take a snapshot.View and server indices, and keep no state.
package filter
