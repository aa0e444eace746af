package configspread

import "time"

// Default values of the Config fields.
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

// Config holds the settings of one machine.
type Config struct {
	Instance   string
	DataCentre string
	// Relays is the number of instances of the data centre that watch the platform.
	Relays int
	// Backoff and MaxBackoff bound the backoff after failed platform calls.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// PeerBackoff is the base of the backoff after a failed fetch from a peer.
	PeerBackoff time.Duration
	// MaxPeerFailures is the number of fetches from peers that fail before the
	// configuration is fetched from the platform.
	MaxPeerFailures int
	// FallbackAfter is the time without a new revision after which an instance
	// fetches from the platform itself.
	FallbackAfter time.Duration
	// StartWait is the time that a new instance that is no relay waits for
	// peers before it fetches from the platform.
	StartWait time.Duration
	// RemoteWait is the wait for a newer revision at a peer in this data centre
	// before it is fetched from a peer in another one.
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
