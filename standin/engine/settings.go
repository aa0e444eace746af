package engine

import "time"

// Settings describe one stand-in engine.
type Settings struct {
	Name    string
	Address string
	Model   string
	Version string
	// Slots is how many streams run in the batch at a time.
	Slots int
	// TokenTime is the time between tokens of a batch of one.
	TokenTime time.Duration
	// TokenTimePerStream is added to TokenTime for each further stream.
	TokenTimePerStream time.Duration
	// PrefillTimePerToken is the time for one prompt token not in the cache.
	PrefillTimePerToken time.Duration
	// CacheTokens is the size of the prompt prefix cache.
	CacheTokens int
	// LoadReportLag is how old a load report is when it is read.
	LoadReportLag time.Duration
	// Salt makes the engine's answers differ from those of other engines.
	Salt uint64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// StreamRetention is how long a stream without a reader is kept.
	StreamRetention time.Duration
	// WeightStore is the base URL for loading models; empty loads at once.
	WeightStore string
}

// Defaults of Settings.
const (
	DefaultSlots               = 32
	DefaultTokenTime           = 29 * time.Millisecond
	DefaultPrefillTimePerToken = 100 * time.Microsecond
	DefaultCacheTokens         = 200_000
	DefaultStreamRetention     = 60 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.TokenTime == 0 {
		s.TokenTime = DefaultTokenTime
	}
	if s.PrefillTimePerToken == 0 {
		s.PrefillTimePerToken = DefaultPrefillTimePerToken
	}
	if s.CacheTokens == 0 {
		s.CacheTokens = DefaultCacheTokens
	}
	if s.StreamRetention == 0 {
		s.StreamRetention = DefaultStreamRetention
	}
	return s
}
