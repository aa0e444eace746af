package route

import "time"

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time from the first byte of a request to the end
	// of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection may wait for its next request.
	IdleTimeout time.Duration
}
