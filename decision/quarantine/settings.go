package quarantine

import "time"

// Settings are the policy of a Book.
type Settings struct {
	// SoleDeaths is the number of deaths as the only suspect that quarantine
	// a request.
	QuarantineThreshold int
	// MaxDeaths is the number of deaths after which a request waits.
	WaitThreshold int
	// SharedDeaths is the number of servers that end within SharedWindow of
	// each other for their deaths to count against nobody.
	SimultaneousThreshold int
	SimultaneousWindow    time.Duration
	// JoinWindow joins reports of one server's death by several instances.
	JoinWindow time.Duration
	// SettleDelay is the wait for other instances' reports before a request
	// is quarantined.
	PropagationDelay time.Duration
	// ClearDelay is that wait while other requests in flight at a death are
	// not cleared.
	ClearanceDelay time.Duration
	// RunningExpiry is how long another instance's word holds that a suspect
	// runs there; RunningRetry is the wait before the next check.
	RunningExpiry   time.Duration
	RecheckInterval time.Duration
	// SuspicionExpiry is how long a death is remembered.
	SuspicionExpiry time.Duration
	// QuarantineExpiry is how long a quarantine lasts.
	QuarantineExpiry time.Duration
	// MaxReports, MaxClearances, MaxSuspects and MaxQuarantines bound a book and its digest:
	// reports, clearances, suspects of one report and quarantines.
	MaxReports     int
	MaxClearances  int
	MaxSuspects    int
	MaxQuarantines int
}

// DefaultSettings returns the policy used in production.
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
