package fairqueue

import "time"

// Item is one waiting request.
type Item struct {
	ID      string
	Account string
	// Weight is the account's share; at least 1.
	Weight int
	// Cost is what the request takes, in any unit; at least 1.
	Cost     int
	Priority int
	// Deadline is when the request is of no more use.
	Deadline time.Duration
}
