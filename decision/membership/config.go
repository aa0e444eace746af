package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Default values of the Config fields.
const (
	DefaultPeriod           = time.Second
	DefaultTickInterval     = 100 * time.Millisecond
	DefaultFanOut           = 2
	DefaultNewsFanOut       = 3
	DefaultNewsRounds       = 4
	DefaultBridges          = 3
	DefaultForeignPerCentre = 6
	DefaultProbeTimeout     = 500 * time.Millisecond
	DefaultSuspectAfter     = 2 * time.Second
	DefaultSuspicionTimeout = 4 * time.Second
	DefaultPauseLimit       = 2 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultHealEvery        = 5
	DefaultDigestBytes      = 700
	DefaultNewsBytes        = 380
	DefaultBytesPerSecond   = 3600
	DefaultBurstBytes       = 6000
	DefaultDemandEntries    = 8
	DefaultNotices          = 256
	DefaultFormerPeers      = 16
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
	NewsFanOut int
	NewsRounds int
	// Bridges is the number of instances of each data centre that exchange with
	// other data centres.
	Bridges int
	// MaxForeignPerCentre bounds the instances of each other data centre in the table.
	ForeignPerCentre int
	// ProbeTimeout is the wait for a reply before a probe is retried.
	ProbeTimeout time.Duration
	// SuspectAfter is the time without a digest from a probed instance after
	// which it becomes a suspect.
	SuspectAfter time.Duration
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// PauseThreshold is the gap between inputs from which this instance is treated
	// as having been paused.
	PauseLimit time.Duration
	// DeadRetention is how long a dead instance stays in the table after it was
	// last known to be up.
	ForgetAfter time.Duration
	// RejoinProbePeriods is the number of periods between probes of peers that are
	// not known to be up: seeds, listed, removed and dead instances.
	HealEvery int
	// MaxDigestBytes and MaxUpdateBytes bound the encoded digests of the exchange
	// and of updates, in bytes.
	DigestBytes int
	NewsBytes   int
	// BytesPerSecond and BurstBytes bound the datagrams sent, IP and UDP headers included.
	BytesPerSecond int
	BurstBytes     int
	// MaxDemandEntries bounds the demand entries of one report.
	DemandEntries int
	// MaxNotices bounds the notices in the table.
	Notices int
	// MaxFormerPeers bounds the removed peers that are still probed.
	FormerPeers int
}

// WithDefaults returns the configuration with every unset field filled in.
func (c Config) WithDefaults() Config {
	c.Period = orDuration(c.Period, DefaultPeriod)
	c.TickInterval = orDuration(c.TickInterval, DefaultTickInterval)
	c.ProbeTimeout = orDuration(c.ProbeTimeout, DefaultProbeTimeout)
	c.SuspectAfter = orDuration(c.SuspectAfter, DefaultSuspectAfter)
	c.SuspicionTimeout = orDuration(c.SuspicionTimeout, DefaultSuspicionTimeout)
	c.PauseLimit = orDuration(c.PauseLimit, DefaultPauseLimit)
	c.ForgetAfter = orDuration(c.ForgetAfter, DefaultForgetAfter)
	c.FanOut = orInt(c.FanOut, DefaultFanOut)
	c.NewsFanOut = orInt(c.NewsFanOut, DefaultNewsFanOut)
	c.NewsRounds = orInt(c.NewsRounds, DefaultNewsRounds)
	c.Bridges = orInt(c.Bridges, DefaultBridges)
	c.ForeignPerCentre = orInt(c.ForeignPerCentre, DefaultForeignPerCentre)
	c.HealEvery = orInt(c.HealEvery, DefaultHealEvery)
	c.DigestBytes = orInt(c.DigestBytes, DefaultDigestBytes)
	c.NewsBytes = orInt(c.NewsBytes, DefaultNewsBytes)
	c.BytesPerSecond = orInt(c.BytesPerSecond, DefaultBytesPerSecond)
	c.BurstBytes = orInt(c.BurstBytes, DefaultBurstBytes)
	c.DemandEntries = orInt(c.DemandEntries, DefaultDemandEntries)
	c.Notices = orInt(c.Notices, DefaultNotices)
	c.FormerPeers = orInt(c.FormerPeers, DefaultFormerPeers)
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
