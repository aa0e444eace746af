package lease

import "time"

// Settings holds the name of a candidate and its times.
type Settings struct {
	// Holder is the name of this candidate. Two incarnations of an instance
	// need different names.
	Holder string
	// Duration is how long a lease is valid after a renewal was sent.
	Duration time.Duration
	// RenewInterval is the interval of renewals and of reads.
	RenewInterval time.Duration
	// MaxClockDrift is the most that two clocks drift apart over one Duration.
	MaxClockDrift time.Duration
	// CallTimeout is the time after which a call in flight counts as failed.
	CallTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultMaxClockDrift = time.Second
	DefaultCallTimeout   = 3 * time.Second
)

// DefaultSettings returns the settings for a candidate.
func DefaultSettings(holder string) Settings {
	return Settings{
		Holder:        holder,
		Duration:      DefaultDuration,
		RenewInterval: DefaultRenewInterval,
		MaxClockDrift: DefaultMaxClockDrift,
		CallTimeout:   DefaultCallTimeout,
	}
}
