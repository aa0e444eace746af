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
	// keysRequired is set once a version of the configuration required keys, here or at a peer.
	keysRequired atomic.Bool
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

// KeysRequired reports whether requests need a key.
func (s *State) KeysRequired() bool { return s.keysRequired.Load() }

// RequireKeys makes requests need a key, by the in-force configuration and all later ones: a version without accounts takes
// the keys of before away, and not the need for one.
func (s *State) RequireKeys() {
	if s.keysRequired.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.current.Load(); current != nil && !current.Table.KeysRequired() {
		s.current.Store(current.requiringKeys())
	}
	s.keysRequired.Store(true)
}

// Offer puts a configuration into force unless it is nil or an equal or newer version is
// in force, and reports whether it did. Once requests need a key, they do so by all later versions.
func (s *State) Offer(configuration *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if configuration == nil || configuration.Table.Version <= s.Version() {
		return false
	}
	if s.keysRequired.Load() && !configuration.Table.KeysRequired() {
		configuration = configuration.requiringKeys()
	}
	s.current.Store(configuration)
	if configuration.Table.KeysRequired() {
		s.keysRequired.Store(true)
	}
	return true
}
