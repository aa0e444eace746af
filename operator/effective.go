package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Effective is the configuration in force with the local marks laid over it.
// The serving path reads it; changes are never computed from it. It is safe
// for concurrent use.
type EffectiveSource struct {
	current serving.ConfigurationSource
	marks   *LocalDrains
	now     func() time.Time

	mu sync.Mutex
	// merged is the result for base and version until the first mark expires.
	merged  *estate.Configuration
	base    *estate.Configuration
	version uint64
	expires time.Time
}

// NewEffective returns a source over a configuration and the marks.
func NewEffectiveSource(current serving.ConfigurationSource, marks *LocalDrains, now func() time.Time) *EffectiveSource {
	return &EffectiveSource{current: current, marks: marks, now: now}
}

// Current implements serving.ConfigurationSource. It returns the same pointer
// until something changes.
func (e *EffectiveSource) Current() *estate.Configuration {
	current := e.current.Current()
	if current == nil {
		return nil
	}
	version, now := e.marks.Version(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.base != current || e.version != version || (!e.expires.IsZero() && !now.Before(e.expires)) {
		e.base, e.version = current, version
		e.merge(now)
	}
	return e.merged
}

// merge lays the marks over the base.
func (e *EffectiveSource) merge(now time.Time) {
	e.merged, e.expires = e.base, time.Time{}
	for _, mark := range e.marks.All() {
		if !now.Before(mark.Expires) {
			continue
		}
		e.merged = withMark(mark, e.merged)
		if e.expires.IsZero() || mark.Expires.Before(e.expires) {
			e.expires = mark.Expires
		}
	}
}

// withMark returns the configuration with a mark laid over it.
func withMark(mark dump.LocalDrain, configuration *estate.Configuration) *estate.Configuration {
	next := *configuration
	next.Drains = slices.DeleteFunc(slices.Clone(configuration.Drains), func(d estate.Drain) bool { return d == mark.Drain })
	if !mark.Undrain {
		next.Drains = append(next.Drains, mark.Drain)
	}
	return &next
}
