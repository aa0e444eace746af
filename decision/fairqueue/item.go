package fairqueue

import "time"

// Item is one waiting request.
type Item struct {
	ID      string
	Account string
	// Weight is the account's share; below 1 counts as 1.
	Weight int
	// Cost is the work of the request, in any unit; below 1 counts as 1.
	Cost int
	// Priority orders the requests of one account; a higher one goes first.
	Priority int
	// Deadline is the time from which on Expire removes the request.
	Deadline time.Duration
}
