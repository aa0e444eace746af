package message

// Answer is what a backend server says about its answer.
type Answer struct {
	// ID is the id of the request that it answers; empty when not given.
	RequestID string
	// Signed reports whether the server vouches for the answer.
	Signed bool
	// NotRun reports whether the server states that the request has not run
	// and never will.
	NotRun bool
	// WrongServer reports whether another server has the address.
	WrongServer bool
	// Server is the id of the server that answers; empty when not given.
	Server string
	// Encoded reports a coded body, which is not the server's own.
	Encoded bool
}
