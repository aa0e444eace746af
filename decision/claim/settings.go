package claim

import "time"

// Settings holds the limits and delays of a Committer.
type Settings struct {
	// ClaimWindow is the longest time a claim waits for others to be
	// committed with it.
	ClaimWindow time.Duration
	// RecordWindow is the longest time an outcome waits for a commit.
	RecordWindow time.Duration
	// MinBatch is the number of claims expected within ClaimWindow below which
	// a claim is committed without waiting.
	MinBatch float64
	// SealBytes is the size of the head's open part at which it is written as
	// a segment.
	SealBytes int
	// MaxBatchBytes bounds the size of the entries that one commit adds.
	MaxBatchBytes int
	// MaxSegments bounds the number of segments that a head refers to.
	MaxSegments int
	// MaxClockDifference is the largest difference between two instances' clocks;
	// entries are removed this long after their expiry.
	MaxClockDifference time.Duration
	// BackoffBase is the longest wait after the first failed read or write; it
	// doubles with each further failure, up to BackoffLimit.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// FailFastAfter is the number of failures in a row after which queued
	// claims are answered as unresolved.
	FailFastAfter int
	// MaxParallelReads bounds the segments that a load reads at the same time.
	MaxParallelReads int
}

// DefaultSettings returns the settings used in production.
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
