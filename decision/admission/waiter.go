package admission

import "time"

// Waiter is a request for which a WaitingList decides. Times are durations from the list's point of view: the caller's clock
// starts anywhere.
type Waiter struct {
	ID string
	// Account shares the starts of its rank with the other accounts that wait; it may be empty.
	Account string
	// Rank is the position of the request's rank in its service, 0 for the highest.
	Rank int
	// Cost is the work of the request in any unit, the same for all requests of a list.
	Cost int
	// Target is the time to the first part of the answer that its caller expects.
	Target time.Duration
	// Remaining is the time until the answer must have ended, Needed the least part of it that a server needs.
	Remaining time.Duration
	Needed    time.Duration
}

// MaxWait returns how long a request may wait: half of its target, and half of the time that its answer can do without. So
// an answer can still be in time where servers are fast, and a caller that is refused has time for another request.
func (w *Waiter) MaxWait() time.Duration {
	return max(0, min(w.Target, w.Remaining-w.Needed)/2)
}

// Verdict says what becomes of a request.
type Verdict int

// Verdicts.
const (
	// Start means that the request is sent now.
	Start Verdict = iota
	// Wait means that it is on the list.
	Wait
	// Refuse means that it is refused: it can't be expected to start within MaxWait.
	Refuse
)

// Decision is what becomes of one request.
type Decision struct {
	ID      string
	Verdict Verdict
	// Ahead is the number of requests before it, Expected the time until it is expected to start.
	Ahead    int
	Expected time.Duration
}
