package poison

import "time"

// Settings holds the thresholds, times and bounds of a Table.
type Settings struct {
	// Threshold is the number of crashes that quarantine a request, or a part under at least MinRequests
	// requests.
	Threshold   int
	MinRequests int
	// JoinTime is the time within which reports about one server are about the same crash. It is shorter
	// than a server takes to start again and to crash again.
	JoinTime time.Duration
	// SimultaneousTime is the time within which crashes under several requests count once against a part: what they
	// have in common may be a rack.
	SimultaneousTime time.Duration
	// CrashLifetime is how long a crash counts.
	CrashLifetime time.Duration
	// CleanLifetime is how long after a run without a crash no crash counts. It is bounded, because a
	// request may begin to crash servers when their software changes.
	CleanLifetime time.Duration
	// QuarantineTime is the duration of the quarantine of a request. Parts are first quarantined for FirstPartTime, and
	// with each renewal for renewalFactor times as long, up to QuarantineTime: they concern more callers, and the cause
	// may be another one. For as long again, one crash renews a quarantine.
	QuarantineTime time.Duration
	FirstPartTime  time.Duration
	// MinProbation is the minimum time after a quarantine in which one crash renews it.
	MinProbation time.Duration
	// TrialTime is how long the turn of a group of instances lasts that may send trials after a quarantine: servers crash
	// and instances learn of it in the meantime.
	TrialTime time.Duration
	// NewsTime is how long news are passed on.
	NewsTime time.Duration
	// MaxKeys is the maximum number of keys with crashes, MaxQuarantines that of quarantines, and MaxNews that of
	// news of each kind; the oldest are dropped. MaxCleanKeys is the maximum number of keys in each of two generations of runs
	// without a crash.
	MaxKeys        int
	MaxQuarantines int
	MaxNews        int
	MaxCleanKeys   int
}

const (
	renewalFactor = 4
	// maxRenewals is the number of renewals of the longest quarantine.
	maxRenewals = 4
)

// quarantineTime returns the duration of a quarantine after a number of renewals.
func (s Settings) quarantineTime(renewals int) time.Duration {
	duration := s.FirstPartTime
	for range min(renewals, maxRenewals) {
		duration *= renewalFactor
	}
	return min(duration, s.QuarantineTime)
}

// DefaultSettings returns the settings of an instance.
func DefaultSettings() Settings {
	return Settings{
		Threshold: 3, MinRequests: 2, JoinTime: 2 * time.Second, SimultaneousTime: 300 * time.Millisecond, CrashLifetime: 15 * time.Minute, CleanLifetime: time.Minute,
		QuarantineTime: 15 * time.Minute, FirstPartTime: 30 * time.Second, MinProbation: 2 * time.Minute, TrialTime: 3 * time.Second, NewsTime: 4 * time.Second, MaxKeys: 4096, MaxQuarantines: 512, MaxNews: 16, MaxCleanKeys: 1 << 14,
	}
}
