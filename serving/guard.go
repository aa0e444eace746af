package serving

// Fingerprint identifies the content of a request: the hash of service,
// model, prompt or body, but not of its idempotency key.
type Fingerprint uint64

// Guard finds poison requests: requests that crash the backend servers that run
// them. It is safe for concurrent use.
type Guard interface {
	// Check returns RequestQuarantined for a quarantined fingerprint. Otherwise
	// it reports whether the request is a suspect that must run isolated. It
	// holds a suspect for a bounded time while other requests with its
	// fingerprint run, and returns RequestSuspected after that.
	Check(fingerprint Fingerprint, requestID string) (isolated bool, err error)
	// Started records that a request is sent to a server.
	Started(fingerprint Fingerprint, requestID, server string)
	// Reached records that the server accepted the connection of the request: from
	// then on the request may crash it.
	Reached(requestID, server string)
	// Ended records that the request left the server without a crash.
	Ended(fingerprint Fingerprint, requestID, server string)
	// ServerFailed records that a server failed: every request that reached it and is
	// in flight there becomes a suspect.
	ServerFailed(server string)
}
