package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Default values of the Config fields.
const (
	DefaultPeriod              = time.Second
	DefaultTickInterval        = 100 * time.Millisecond
	DefaultFanOut              = 2
	DefaultUpdateFanOut        = 3
	DefaultUpdateRounds        = 4
	DefaultBridges             = 3
	DefaultMaxForeignPerCentre = 6
	DefaultProbeTimeout        = 500 * time.Millisecond
	DefaultSuspectAfter        = 2 * time.Second
	DefaultSuspicionTimeout    = 4 * time.Second
	DefaultPauseThreshold      = 2 * time.Second
	DefaultDeadRetention       = 10 * time.Minute
	DefaultRejoinProbePeriods  = 5
	DefaultMaxDigestBytes      = 700
	DefaultMaxUpdateBytes      = 380
	DefaultBytesPerSecond      = 3600
	DefaultBurstBytes          = 6000
	DefaultMaxDemandEntries    = 8
	DefaultMaxNotices          = 256
	DefaultMaxFormerPeers      = 16
)

// Config holds the settings of one table.
type Config struct {
	// Self names this instance and its addresses.
	Self settings.Peer
	// Incarnation is the first incarnation. It must be larger than that of any
	// earlier process of this name, such as the start time in milliseconds.
	Incarnation uint64
	// Seeds are the peers that are probed until they are in the table.
	Seeds []settings.Peer

	// Period is the time between two exchanges.
	Period time.Duration
	// TickInterval is the time between two ticks, and between two rounds of updates.
	TickInterval time.Duration
	// FanOut is the number of instances probed in a period.
	FanOut int
	// UpdateFanOut is the number of instances that one round of updates is sent
	// to, and UpdateRounds the number of rounds after a change.
	UpdateFanOut int
	UpdateRounds int
	// Bridges is the number of instances of each data centre that exchange with
	// other data centres.
	Bridges int
	// MaxForeignPerCentre bounds the instances of each other data centre in the table.
	MaxForeignPerCentre int
	// ProbeTimeout is the wait for a reply before a probe is retried.
	ProbeTimeout time.Duration
	// SuspectAfter is the time without a digest from a probed instance after
	// which it becomes a suspect.
	SuspectAfter time.Duration
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// PauseThreshold is the gap between inputs from which this instance is treated
	// as having been paused.
	PauseThreshold time.Duration
	// DeadRetention is how long a dead instance stays in the table after it was
	// last known to be up.
	DeadRetention time.Duration
	// RejoinProbePeriods is the number of periods between probes of peers that are
	// not known to be up: seeds, listed, removed and dead instances.
	RejoinProbePeriods int
	// MaxDigestBytes and MaxUpdateBytes bound the encoded digests of the exchange
	// and of updates, in bytes.
	MaxDigestBytes int
	MaxUpdateBytes int
	// BytesPerSecond and BurstBytes bound the datagrams sent, IP and UDP headers included.
	BytesPerSecond int
	BurstBytes     int
	// MaxDemandEntries bounds the demand entries of one report.
	MaxDemandEntries int
	// MaxNotices bounds the notices in the table.
	MaxNotices int
	// MaxFormerPeers bounds the removed peers that are still probed.
	MaxFormerPeers int
}

// WithDefaults returns the configuration with every unset field filled in.
func (c Config) WithDefaults() Config {
	c.Period = orDuration(c.Period, DefaultPeriod)
	c.TickInterval = orDuration(c.TickInterval, DefaultTickInterval)
	c.ProbeTimeout = orDuration(c.ProbeTimeout, DefaultProbeTimeout)
	c.SuspectAfter = orDuration(c.SuspectAfter, DefaultSuspectAfter)
	c.SuspicionTimeout = orDuration(c.SuspicionTimeout, DefaultSuspicionTimeout)
	c.PauseThreshold = orDuration(c.PauseThreshold, DefaultPauseThreshold)
	c.DeadRetention = orDuration(c.DeadRetention, DefaultDeadRetention)
	c.FanOut = orInt(c.FanOut, DefaultFanOut)
	c.UpdateFanOut = orInt(c.UpdateFanOut, DefaultUpdateFanOut)
	c.UpdateRounds = orInt(c.UpdateRounds, DefaultUpdateRounds)
	c.Bridges = orInt(c.Bridges, DefaultBridges)
	c.MaxForeignPerCentre = orInt(c.MaxForeignPerCentre, DefaultMaxForeignPerCentre)
	c.RejoinProbePeriods = orInt(c.RejoinProbePeriods, DefaultRejoinProbePeriods)
	c.MaxDigestBytes = orInt(c.MaxDigestBytes, DefaultMaxDigestBytes)
	c.MaxUpdateBytes = orInt(c.MaxUpdateBytes, DefaultMaxUpdateBytes)
	c.BytesPerSecond = orInt(c.BytesPerSecond, DefaultBytesPerSecond)
	c.BurstBytes = orInt(c.BurstBytes, DefaultBurstBytes)
	c.MaxDemandEntries = orInt(c.MaxDemandEntries, DefaultMaxDemandEntries)
	c.MaxNotices = orInt(c.MaxNotices, DefaultMaxNotices)
	c.MaxFormerPeers = orInt(c.MaxFormerPeers, DefaultMaxFormerPeers)
	return c
}

func orDuration(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

func orInt(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
