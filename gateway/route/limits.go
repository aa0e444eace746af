package route

import "time"

// Limits bounds the size of a client's requests and the time for sending them.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time from the first byte of a request to the end
	// of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection may wait for its next request.
	IdleTimeout time.Duration
}
