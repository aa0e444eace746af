package orders

import "time"

// Settings of a Reconciler.
type Settings struct {
	// Patience is how long a server must be dead before it is replaced.
	ReplaceAfter time.Duration
	// ReleaseAfter is how long a returned server must live before its
	// replacement is released.
	ReleaseAfter time.Duration
	// RepeatAfter is the time before an order is repeated.
	RepeatAfter time.Duration
	// OldLeaseWait is how long a new holder waits before it orders an engine
	// that does not check fencing numbers: the lease duration and the clock
	// bound.
	OldLeaseWait time.Duration
	// MaxTransfers bounds the loads at the weight store at a time.
	MaxTransfers int
}

// Defaults of Settings.
const (
	DefaultReplaceAfter = 10 * time.Second
	DefaultReleaseAfter = 30 * time.Second
	DefaultRepeatAfter  = 5 * time.Second
	DefaultOldLeaseWait = 16 * time.Second
	DefaultMaxTransfers = 4
)

// DefaultSettings returns the settings of an ordinary estate.
func DefaultSettings() Settings {
	return Settings{
		ReplaceAfter: DefaultReplaceAfter,
		ReleaseAfter: DefaultReleaseAfter,
		RepeatAfter:  DefaultRepeatAfter,
		OldLeaseWait: DefaultOldLeaseWait,
		MaxTransfers: DefaultMaxTransfers,
	}
}
