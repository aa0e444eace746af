package poison

import (
	"slices"
	"time"
)

// Crash is the end of a backend server while it ran a request.
type Crash struct {
	// Server identifies the server's process.
	Server uint64
	Run    Run
	At     time.Time
}

// CleanRun is a run of a request, or of one with a part, that ended without a crash.
type CleanRun struct {
	Key Key
	At  time.Time
}

// clears reports whether a crash or quarantine at a time doesn't count because of the run.
func (r CleanRun) clears(at time.Time, settings Settings) bool {
	return !r.At.IsZero() && r.At.After(at.Add(-settings.CleanLifetime))
}

// Quarantine rejects the requests that hold all its keys, since a time: the key of one request, or those of
// parts that occurred together in each request that crashed servers.
type Quarantine struct {
	// Keys are in ascending order.
	Keys  []Key
	Since time.Time
	// Renewals counts how often crashes have renewed the quarantine; each time it lasts longer.
	Renewals int
	// trialAt is when this instance last sent a request as a trial after the quarantine; zero for never.
	trialAt time.Time
}

// Equal reports whether two quarantines are the same.
func (q Quarantine) Equal(other Quarantine) bool {
	return slices.Equal(q.Keys, other.Keys) && q.Since.Equal(other.Since) && q.Renewals == other.Renewals
}

// matches reports whether a request holds all keys.
func (q Quarantine) matches(run Run) bool {
	for _, key := range q.Keys {
		if !run.holds(key) {
			return false
		}
	}
	return true
}

// News holds what instances tell each other.
type News struct {
	Crashes     []Crash
	CleanRuns   []CleanRun
	Quarantines []Quarantine
}
