package configspread

import "time"

// Defaults of the spreading.
const (
	DefaultRelays          = 3
	DefaultBackoff         = 500 * time.Millisecond
	DefaultMaxBackoff      = 30 * time.Second
	DefaultPeerBackoff     = 50 * time.Millisecond
	DefaultMaxPeerFailures = 3
	DefaultFallbackAfter   = 2 * time.Minute
	DefaultStartWait       = 2 * time.Second
	DefaultRemoteWait      = time.Second
)

// Config is what one machine works by.
type Config struct {
	Instance   string
	DataCentre string
	// Relays is how many instances of the data centre watch the platform.
	Relays int
	// Backoff and MaxBackoff bound the pause after failed platform calls.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// PeerBackoff bounds the first pause after a failed fetch from a peer.
	PeerBackoff time.Duration
	// PeerTries is how many fetches from peers fail before the platform is
	// asked.
	MaxPeerFailures int
	// FallbackAfter is the time without a new revision after which an instance
	// asks the platform itself.
	FallbackAfter time.Duration
	// StartPatience is the wait for peers before a new instance that is no
	// relay asks the platform.
	StartWait time.Duration
	// FarPatience is the wait for a holder in the own data centre before one
	// of another is asked.
	RemoteWait time.Duration
}

// WithDefaults returns the configuration with every unset field filled in.
func (c Config) WithDefaults() Config {
	c.Backoff = orDuration(c.Backoff, DefaultBackoff)
	c.MaxBackoff = orDuration(c.MaxBackoff, DefaultMaxBackoff)
	c.PeerBackoff = orDuration(c.PeerBackoff, DefaultPeerBackoff)
	c.FallbackAfter = orDuration(c.FallbackAfter, DefaultFallbackAfter)
	c.StartWait = orDuration(c.StartWait, DefaultStartWait)
	c.RemoteWait = orDuration(c.RemoteWait, DefaultRemoteWait)
	if c.Relays == 0 {
		c.Relays = DefaultRelays
	}
	if c.MaxPeerFailures == 0 {
		c.MaxPeerFailures = DefaultMaxPeerFailures
	}
	return c
}

func orDuration(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
