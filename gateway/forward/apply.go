package forward

import (
	"maps"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
)

// Changeable are the options that may change while a forwarder runs.
type ReloadableOptions struct {
	// Regions is the region of each data centre.
	Regions map[string]string
	// SecondSends bounds the sends to second servers over all instances.
	SecondSends secondsends.Limits
	// AddressReuse is the time in which the address of an ended server belongs
	// to nobody else; 0 when not known.
	AddressReuse time.Duration
}

// Apply replaces options of a running forwarder.
func (f *Forwarder) Apply(options ReloadableOptions) {
	f.adopter.reuse.Store(int64(options.AddressReuse))
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
