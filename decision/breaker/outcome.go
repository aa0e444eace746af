package breaker

// Outcome is the result of an attempt as far as it concerns the server.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Neutral says nothing about the server, for example a cancelled attempt.
	Neutral Outcome = iota
	// Success means that the server answered.
	Success
	// Failure means that the server could not be reached or broke the connection.
	Failure
)
