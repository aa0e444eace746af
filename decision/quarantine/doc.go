// Package quarantine finds requests that end the servers that run them.
//
// A request is known by its fingerprint, so that a resend under another key is
// the same request. When a server ends, every request in flight on it becomes
// a suspect. Suspects run isolated: no two on one server, and no suspect twice
// at a time. A request that runs
// elsewhere to a harmless end, for at least as long as it had run when a
// server ended, is cleared of that death. A death counts against a request
// when the request is its only known suspect: accused of an earlier death,
// while no other request in flight stands accused of another one. Several servers that end at
// nearly the same time count against nobody, because a rack or a switch takes
// many at once.
//
// Two deaths as the only suspect quarantine a request. A request that was in
// flight at MaxDeaths deaths waits until it is cleared or quarantined.
//
// Each instance keeps a Book. Books exchange death reports, clearances and
// quarantines as bounded digests; what follows from them is a function of
// their union, so that books that know the same agree, whatever order it came
// in. Reports of one death by several instances are joined.
//
// The package is deterministic; the time is passed in.
package quarantine
