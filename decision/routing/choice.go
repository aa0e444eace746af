package routing

// Choice is the server picked for one attempt.
type Choice struct {
	// Server is its index in the snapshot.
	Server int
	// Reason explains the choice in one line of text.
	Reason string
}
