package routing

// Choice is the picked server.
type Choice struct {
	// Server is the index in the snapshot.
	Server int
	// Reason explains the choice in one line.
	Reason string
}
