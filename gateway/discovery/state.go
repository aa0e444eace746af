package discovery

import (
	"sync"
	"sync/atomic"
)

// State holds the in-force configuration: the newest one that this process has received.
// It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[Configuration]
}

// NewState returns a state without a configuration.
func NewState() *State { return &State{} }

// Current returns the in-force configuration, or nil when there is none.
func (s *State) Current() *Configuration { return s.current.Load() }

// Version returns the version of the in-force configuration, 0 when there is none.
func (s *State) Version() uint64 {
	if current := s.current.Load(); current != nil {
		return current.Table.Version
	}
	return 0
}

// KeysRequired reports whether requests need a key by the in-force configuration.
func (s *State) KeysRequired() bool {
	current := s.current.Load()
	return current != nil && current.Table.KeysRequired()
}

// Offer puts a configuration into force unless it is nil or an equal or newer version is
// in force, and reports whether it did. Once requests need a key, they do so by all later versions: one
// without accounts takes the keys away, and not the need for one. What an equal version says of that counts, too.
func (s *State) Offer(configuration *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configuration == nil || configuration.Table.Version < s.Version() {
		return false
	}
	if s.KeysRequired() {
		configuration = configuration.RequiringKeys()
	}
	if configuration.Table.Version == s.Version() && configuration.Table.KeysRequired() == s.KeysRequired() {
		return false
	}
	s.current.Store(configuration)
	return true
}
