package load

import "time"

// View is what is known about a server beside the requests that the instance knows of.
type View struct {
	// Requests and MemoryTokens are requests and memory there that this instance did not know of.
	Requests     int
	MemoryTokens int
	// Waiting is the number of requests that wait there.
	Waiting int
	// Pause is the longest pause between two events that it makes now; 0 when unknown.
	Pause time.Duration
	// Stated and Produced are the times of the last statement and of the last observed interval; zero for none.
	Stated   time.Time
	Produced time.Time
}
