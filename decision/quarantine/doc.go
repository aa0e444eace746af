// Package quarantine decides which requests may run, so that a poison request
// does not crash one backend server after another.
//
// A request is identified by its fingerprint, so that a second send under another
// key is the same request. When a server fails, every request in flight on it
// becomes a suspect of that failure. Suspects run isolated: no two on one server,
// and no suspect twice at the same time. A suspect is cleared of a failure when
// it later runs elsewhere and leaves that server without a failure, after at
// least as long as it had run when the server failed.
//
// A failure that a quarantined request can explain is attributed to that request.
// Any other suspect that is not cleared is a candidate for its cause. A failure
// counts against a candidate that is also a suspect, not cleared, of an earlier
// failure, while no other request in flight is a candidate for another failure.
// Servers that fail at nearly the same time count against no request, because the
// failure of a rack or a switch stops many servers at once.
//
// QuarantineThreshold such failures quarantine a request. A request that was in
// flight at WaitThreshold failures waits until it is cleared or quarantined.
//
// Each instance keeps a Tracker. Trackers exchange reports of failures, clearances
// and quarantines as bounded digests. Every decision is a function of the union of
// these, so that trackers with the same entries agree in whatever order the entries
// came. Reports of one failure by several instances are joined.
//
// The package is deterministic: the caller passes in the time. It neither detects
// failures nor sends requests or digests.
package quarantine
