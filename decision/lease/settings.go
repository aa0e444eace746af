package lease

import "time"

// Settings of a Machine.
type Settings struct {
	// Holder names this candidate. Two incarnations of an instance need
	// different names.
	Holder string
	// Duration is how long a lease is valid after a renewal was sent.
	Duration time.Duration
	// RenewEvery is the time between renewals and between reads.
	RenewInterval time.Duration
	// ClockBound is how far two clocks drift apart over one Duration.
	MaxClockDrift time.Duration
	// CallTimeout is when an outstanding call counts as lost.
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
