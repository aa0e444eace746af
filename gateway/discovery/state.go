package discovery

import (
	"sync"
	"sync/atomic"
)

// State holds the newest configuration that this process has seen.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[Configuration]
}

// NewState returns a state without a configuration.
func NewState() *State { return &State{} }

// Current returns the configuration in force, or nil.
func (s *State) Current() *Configuration { return s.current.Load() }

// Version returns the version in force, 0 when there is none.
func (s *State) Version() uint64 {
	if current := s.current.Load(); current != nil {
		return current.Table.Version
	}
	return 0
}

// Offer puts a configuration into force unless an equal or newer one is, and
// reports whether it did.
func (s *State) Offer(configuration *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configuration == nil || configuration.Table.Version <= s.Version() {
		return false
	}
	s.current.Store(configuration)
	return true
}
