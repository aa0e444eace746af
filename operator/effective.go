package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// EffectiveSource provides the in-force configuration with the local drains applied
// to it. The serving path reads it; changes are never computed from it. It is
// safe for concurrent use.
type EffectiveSource struct {
	current     serving.ConfigurationSource
	localDrains *LocalDrains
	now         func() time.Time

	mu sync.Mutex
	// merged is the result for base and version until the first local drain
	// expires.
	merged  *estate.Configuration
	base    *estate.Configuration
	version uint64
	expires time.Time
}

// NewEffectiveSource returns the effective configuration of a source and a set of
// local drains.
func NewEffectiveSource(current serving.ConfigurationSource, localDrains *LocalDrains, now func() time.Time) *EffectiveSource {
	return &EffectiveSource{current: current, localDrains: localDrains, now: now}
}

// Current implements serving.ConfigurationSource. It returns the same pointer
// until the configuration or the local drains change.
func (e *EffectiveSource) Current() *estate.Configuration {
	current := e.current.Current()
	if current == nil {
		return nil
	}
	version, now := e.localDrains.Version(), e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.base != current || e.version != version || (!e.expires.IsZero() && !now.Before(e.expires)) {
		e.base, e.version = current, version
		e.merge(now)
	}
	return e.merged
}

// merge applies the local drains that have not expired to the base.
func (e *EffectiveSource) merge(now time.Time) {
	e.merged, e.expires = e.base, time.Time{}
	for _, localDrain := range e.localDrains.All() {
		if !now.Before(localDrain.Expires) {
			continue
		}
		e.merged = withLocalDrain(localDrain, e.merged)
		if e.expires.IsZero() || localDrain.Expires.Before(e.expires) {
			e.expires = localDrain.Expires
		}
	}
}

// withLocalDrain returns a copy of the configuration with a local drain applied.
func withLocalDrain(localDrain dump.LocalDrain, configuration *estate.Configuration) *estate.Configuration {
	next := *configuration
	next.Drains = slices.DeleteFunc(slices.Clone(configuration.Drains), func(d estate.Drain) bool { return d == localDrain.Drain })
	if !localDrain.Undrain {
		next.Drains = append(next.Drains, localDrain.Drain)
	}
	return &next
}
