package quarantine

import "time"

// Advice says how a request may run.
type Action uint8

// The advice for a request.
const (
	// Run means that the request is no suspect.
	Run Action = iota
	// RunIsolated demands a server that runs no other suspect.
	RunIsolated
	// Wait means that the request must not run before Verdict.Until, when it
	// is to be checked again.
	Wait
	// Refuse means that the request is quarantined.
	Refuse
)

// Verdict is the advice for a request with its reason.
type Decision struct {
	Action Action
	// Until is set for Wait.
	NextCheckAt time.Time
	// Deaths are the servers that ended while running the request.
	FailedServers []string
}
