package forward

import (
	"maps"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
)

// ReloadableOptions holds the options that may change while a forwarder runs.
type ReloadableOptions struct {
	// Regions is the region of each data centre.
	Regions map[string]string
	// SecondSends bounds the second sends of all instances together.
	SecondSends secondsends.Limits
	// AddressReuse is the time for which the address of a stopped server is not
	// given to another; 0 when unknown.
	AddressReuse time.Duration
	// QuarantineTime is the duration of the quarantine of a request that crashes servers; 0 for the default.
	QuarantineTime time.Duration
	// AnswerBytes is the maximum size of all buffered answers together.
	AnswerBytes int64
	// RelayedRequests is the maximum number of requests of peers that are served at the same time.
	RelayedRequests int
}

// Apply replaces options of a running forwarder.
func (f *Forwarder) Apply(options ReloadableOptions) {
	f.adopter.addressReuse.Store(int64(options.AddressReuse))
	f.answers.limit.Store(options.AnswerBytes)
	f.poison.setQuarantineTime(options.QuarantineTime)
	f.relays.limit.Store(int64(options.RelayedRequests))
	f.selector.apply(options)
}

func (s *selector) apply(options ReloadableOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = maps.Clone(options.Regions)
	if options.SecondSends == s.limits {
		return
	}
	s.limits = options.SecondSends
	for _, budget := range s.budgets {
		budget.SetLimits(time.Since(s.started), s.limits)
	}
}
