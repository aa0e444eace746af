package quarantine

import "time"

// Settings holds the thresholds, delays and bounds of a Tracker.
type Settings struct {
	// QuarantineThreshold is the number of failures that quarantine the
	// request that they count against.
	QuarantineThreshold int
	// WaitThreshold is the number of failures at which a suspect of them waits.
	WaitThreshold int
	// SimultaneousThreshold is the number of failures within
	// SimultaneousWindow at which these count against no request.
	SimultaneousThreshold int
	SimultaneousWindow    time.Duration
	// JoinWindow is the longest time between successive reports by several
	// instances that count as reports of one failure.
	JoinWindow time.Duration
	// PropagationDelay is the wait for peers: for their reports before a request
	// is quarantined, and for an intent to reach them before its suspect runs.
	PropagationDelay time.Duration
	// ClearanceDelay is the wait for reports while the failure has candidates
	// besides the request, which may yet be cleared.
	ClearanceDelay time.Duration
	// RunningExpiry is how long an intent, or a peer's report that a suspect runs
	// there, stays valid. RecheckInterval is the wait before the next check.
	RunningExpiry   time.Duration
	RecheckInterval time.Duration
	// SuspicionExpiry is how long reports and clearances are kept.
	SuspicionExpiry time.Duration
	// QuarantineExpiry is how long a quarantine lasts.
	QuarantineExpiry time.Duration
	// MaxReports, MaxClearances, MaxSuspects (of one report) and MaxQuarantines
	// bound the size of a tracker and its digest.
	MaxReports     int
	MaxClearances  int
	MaxSuspects    int
	MaxQuarantines int
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		QuarantineThreshold:   2,
		WaitThreshold:         3,
		SimultaneousThreshold: 3,
		SimultaneousWindow:    300 * time.Millisecond,
		JoinWindow:            2 * time.Second,
		PropagationDelay:      2 * time.Second,
		ClearanceDelay:        10 * time.Second,
		RunningExpiry:         3 * time.Second,
		RecheckInterval:       200 * time.Millisecond,
		SuspicionExpiry:       time.Hour,
		QuarantineExpiry:      24 * time.Hour,
		MaxReports:            128,
		MaxClearances:         128,
		MaxSuspects:           32,
		MaxQuarantines:        64,
	}
}
