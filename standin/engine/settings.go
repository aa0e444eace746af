package engine

import "time"

// Settings describes one stand-in engine; zero fields get their default below.
type Settings struct {
	Name    string
	Address string
	Model   string
	Version string
	// Slots is the maximum number of streams in the batch.
	Slots int
	// TokenTime is the token interval in a batch of one stream.
	TokenTime time.Duration
	// TokenTimePerStream is added to TokenTime for each further stream.
	TokenTimePerStream time.Duration
	// PrefillTimePerToken is the prefill time of one token that is not cached.
	PrefillTimePerToken time.Duration
	// CacheTokens is the capacity of the prompt prefix cache in tokens.
	CacheTokens int
	// LoadReportLag is the minimum age of the load report that a reader gets.
	LoadReportLag time.Duration
	// Salt makes the engine's answers differ from those of other engines.
	Salt uint64
	// ChecksFencing makes the engine refuse orders with a fencing number lower
	// than the highest one accepted.
	ChecksFencing bool
	// StreamRetention is how long a stream without a reader is kept.
	StreamRetention time.Duration
	// WeightStore is the base URL of the weight store; without one, a model
	// loads at once.
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
