package claim

import "time"

// Settings are the policy of a Committer.
type Settings struct {
	// ClaimWindow is the longest time a claim waits for others to be
	// committed with it.
	ClaimWindow time.Duration
	// RecordWindow is the longest time an outcome waits for a commit.
	RecordWindow time.Duration
	// MinBatch is the number of claims expected within ClaimWindow under
	// which a claim is committed without waiting.
	MinBatch float64
	// SealBytes is the size of the head's open part at which it becomes a
	// segment.
	SealBytes int
	// MaxBatchBytes bounds the entries of one commit.
	MaxBatchBytes int
	// MaxSegments bounds the list of segments in a head.
	MaxSegments int
	// ClockBound is the largest difference between two instances' clocks;
	// entries are forgotten this much after their expiry.
	MaxClockDifference time.Duration
	// BackoffBase and BackoffLimit bound the wait after a failed read or
	// write.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// FailFast is the number of failures in a row after which waiting
	// operations are answered as unresolved.
	FailFastAfter int
	// ParallelReads bounds the segments that are read at a time.
	MaxParallelReads int
}

// DefaultSettings returns the policy used in production.
func DefaultSettings() Settings {
	return Settings{
		ClaimWindow:        85 * time.Millisecond,
		RecordWindow:       500 * time.Millisecond,
		MinBatch:           2,
		SealBytes:          128 << 10,
		MaxBatchBytes:      512 << 10,
		MaxSegments:        8 << 10,
		MaxClockDifference: time.Minute,
		BackoffBase:        20 * time.Millisecond,
		BackoffLimit:       500 * time.Millisecond,
		FailFastAfter:      3,
		MaxParallelReads:   4,
	}
}
