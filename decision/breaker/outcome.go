package breaker

// Outcome is what an attempt says about the server.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Neutral says nothing about the server, such as a cancelled attempt.
	Neutral Outcome = iota
	// Success means that the server answered.
	Success
	// Failure means that it could not be reached or broke the connection.
	Failure
)
