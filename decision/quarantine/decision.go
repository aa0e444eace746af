package quarantine

import "time"

// Advice is how a request may run.
type Action uint8

// The advice for a request.
const (
	// Run means that the request is no suspect.
	Run Action = iota
	// RunIsolated means that the request must run on a server without any other
	// suspect.
	RunIsolated
	// Wait means that the request must not run before the next check, at
	// Verdict.Until.
	Wait
	// Refuse means that the request is quarantined.
	Refuse
)

// Verdict is the advice for a request and the failures it is based on.
type Decision struct {
	Action Action
	// Until is set for Wait.
	NextCheckAt time.Time
	// Deaths are the servers that failed while they ran the request.
	FailedServers []string
}
