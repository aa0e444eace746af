// Package configspread decides how one instance comes to the newest revision
// of the configuration, without sockets, goroutines or a clock.
//
// A few relays of each data centre, chosen by rendezvous hash over the live
// instances, hold a waiting watch at the platform. Every instance announces its
// revision in its digests, so that the others learn who holds a newer one and
// fetch what differs from there. An instance asks the platform itself when
// its peers fail it, or when it has heard nothing new for Config.FallbackAfter,
// each with jitter.
//
// A Machine takes one Input at a time with the current time and returns the
// Actions to carry out. A fetched revision is applied only if it is higher than
// the one in force.
package configspread
