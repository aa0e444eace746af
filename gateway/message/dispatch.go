package message

import "time"

// Dispatch holds the data that the forwarder adds to a request for one backend
// server.
type Dispatch struct {
	// Server is the id of the backend server that must serve it.
	Server string
	// Account names the client account; empty on anonymous routes.
	Account string
	// Remaining is the remaining time of the request.
	Remaining time.Duration
	// Position is the id of the last event that was delivered.
	Position uint64
	// Resume is set when Position replaces the position in the client's request.
	Resume bool
	// CopyTo is the address of the backend server that keeps a copy of the
	// generation's KV cache; empty for none.
	CopyTo string
	// CopyAt is the address of the backend server that holds such a copy and
	// resumes from it; empty for none.
	CopyAt string
	// Urgency is the order in which the server starts the request.
	Urgency Urgency
}
