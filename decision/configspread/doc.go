// Package configspread decides when and from where one instance fetches the
// newest revision of the configuration. It opens no sockets, starts no goroutines
// and reads no clock, and it doesn't handle the content of the configuration.
//
// A few relays of each data centre, chosen by rendezvous hash over the live
// instances, hold a waiting watch at the platform. Every instance sends its
// revision in its digests, so that the others know which peers hold a newer one
// and fetch the difference from them. An instance fetches from the platform
// itself when fetches from its peers fail, or when it has had no new revision for
// Config.FallbackAfter, each with jitter.
//
// A Machine takes one Input at a time with the current time and returns the
// Actions to carry out. A fetched revision is applied only if it is higher than
// the one in force.
package configspread
