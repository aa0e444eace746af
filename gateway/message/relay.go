package message

import "time"

// Relay holds what an instance states about a request that it hands to a peer.
type Relay struct {
	// From is the name of the instance.
	From string
	// UsedAttempts is the number of backend servers that count as those that may have run the request.
	UsedAttempts int
	// FailedServers holds the ids of the backend servers that failed the request.
	FailedServers []string
	// RunsAt is the id of the backend server that may still run the stream, because nothing showed that it
	// stopped; empty for none.
	RunsAt string
	// Service is the service of the request. Version is the software version at which a stream continues;
	// empty when it has not begun.
	Service string
	Version string
	// Remaining is the remaining time of the request.
	Remaining time.Duration
	// Position is the id of the last event that was delivered. Resume is set when it replaces the position in
	// the client's request.
	Position uint64
	Resume   bool
}

// RelayAnswer holds what a peer states about its answer to a request that was handed to it.
type RelayAnswer struct {
	// NotRun is set when no backend server has run the request for the peer or will.
	NotRun bool
	// Server is the id of the backend server that answered, Version its software version; empty when the peer answers itself.
	Server  string
	Version string
	// RetryAfter is the time after which the request may be sent again; 0 when not given.
	RetryAfter time.Duration
}
