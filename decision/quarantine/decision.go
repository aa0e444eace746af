package quarantine

import "time"

// Action is how a request may run.
type Action uint8

// The actions for a request.
const (
	// Run means that the request is no suspect.
	Run Action = iota
	// RunIsolated means that the request must run on a server without any other
	// suspect.
	RunIsolated
	// Wait means that the request must not run before the next check, at
	// Decision.NextCheckAt.
	Wait
	// Refuse means that the request is quarantined.
	Refuse
)

// Decision is the action for a request and the failures it is based on.
type Decision struct {
	Action Action
	// NextCheckAt is set for Wait.
	NextCheckAt time.Time
	// FailedServers are the servers that failed while they ran the request.
	FailedServers []string
}
