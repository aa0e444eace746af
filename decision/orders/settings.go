package orders

import "time"

// Settings holds the delays and the bound of a Reconciler.
type Settings struct {
	// ReplaceAfter is the time between a server's failure and its replacement.
	ReplaceAfter time.Duration
	// ReleaseAfter is how long a returned server must answer before its
	// replacement is released.
	ReleaseAfter time.Duration
	// RepeatAfter is the time before an order is repeated.
	RepeatAfter time.Duration
	// OldLeaseWait is how long a new holder waits before it gives orders to a
	// server that does not check fencing tokens: the lease duration plus the
	// clock bound.
	OldLeaseWait time.Duration
	// MaxTransfers bounds the simultaneous loads from the weight store.
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

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		ReplaceAfter: DefaultReplaceAfter,
		ReleaseAfter: DefaultReleaseAfter,
		RepeatAfter:  DefaultRepeatAfter,
		OldLeaseWait: DefaultOldLeaseWait,
		MaxTransfers: DefaultMaxTransfers,
	}
}
