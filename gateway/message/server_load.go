package message

// ServerLoad is what a backend server states about its load in an answer.
type ServerLoad struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running int
	Waiting int
	// Slots is the maximum number of requests that run at once.
	Slots int
	// WorkPercent is how long work takes there now, 100 as usual; 0 when the server doesn't say so.
	WorkPercent int
}
