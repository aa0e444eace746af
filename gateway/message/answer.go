package message

import "time"

// Answer holds the statements of a backend server about its answer.
type Answer struct {
	// RequestID is the id of the request that it answers; empty when not given.
	RequestID string
	// Signed reports whether the answer has the server's signature.
	Signed bool
	// NotRun reports whether the server states that the request did not run and
	// never will.
	NotRun bool
	// WrongServer reports whether the address belongs to another server than the
	// expected one.
	WrongServer bool
	// Server is the id of the server that answers; empty when not given.
	Server string
	// Encoded reports whether the body has a content encoding, which servers do
	// not use themselves.
	Encoded bool
	// Leaving reports whether the server states that it leaves.
	Leaving bool
	// RetryAfter is how long the server wants no request of this instance; 0 when it
	// doesn't say so. Only a server that turns a request away does.
	RetryAfter time.Duration
	// RejectionLimit is how many requests the server states that it can reject in a second for want of room before it fails;
	// 0 when it doesn't say so.
	RejectionLimit int
	// Rate is what the server states about the requests that it takes.
	Rate RequestRate
	// Load is what the server states about its load; nil when it doesn't.
	Load *ServerLoad
	// NoRoom reports whether the server rejected the request without running it, as one that has no room does.
	NoRoom bool
	// Invalid is the error of a field that could not be read and has no effect; nil for none.
	Invalid error
}
