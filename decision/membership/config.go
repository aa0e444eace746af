package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Defaults of the exchange.
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

// Config is what one table works by.
type Config struct {
	// Self names this instance and its addresses.
	Self settings.Peer
	// Incarnation is the first incarnation: larger than that of any earlier
	// process of this name, such as the time of the start in milliseconds.
	Incarnation uint64
	// Seeds are probed until they are known.
	Seeds []settings.Peer

	// Period is the time between two exchanges.
	Period time.Duration
	// TickInterval is the time between two ticks, and between two rounds of
	// news.
	TickInterval time.Duration
	// FanOut is how many instances are probed in a period.
	FanOut int
	// NewsFanOut and NewsRounds say how often news is sent.
	UpdateFanOut int
	UpdateRounds int
	// Bridges is how many instances exchange with other data centres.
	Bridges int
	// ForeignPerCentre bounds the known instances of each other data centre.
	MaxForeignPerCentre int
	// ProbeTimeout is the wait for a reply before a probe is repeated.
	ProbeTimeout time.Duration
	// SuspectAfter is the silence after which a probed instance is a suspect.
	SuspectAfter time.Duration
	// SuspicionTimeout is the time in which a suspect can refute.
	SuspicionTimeout time.Duration
	// PauseLimit is the gap between inputs that is taken for a pause.
	PauseThreshold time.Duration
	// ForgetAfter is how long a dead instance is kept.
	DeadRetention time.Duration
	// HealEvery is the number of periods between probes of dead instances.
	RejoinProbePeriods int
	// DigestBytes and NewsBytes bound the encoded digests, in bytes.
	MaxDigestBytes int
	MaxUpdateBytes int
	// BytesPerSecond and BurstBytes bound the datagrams sent, headers
	// included.
	BytesPerSecond int
	BurstBytes     int
	// DemandEntries bounds the demand of one report.
	MaxDemandEntries int
	// Notices bounds the notices kept.
	MaxNotices int
	// FormerPeers bounds the forgotten peers that are still probed.
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
