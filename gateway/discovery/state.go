package discovery

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// State holds the in-force configuration: the newest one that this process has received.
// It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	current atomic.Pointer[Configuration]
	// moved holds until when streams of a route may have begun at services to which it doesn't send them any more, by host and
	// path prefix; its fields are used with mu held.
	moved map[movedRoute]time.Time
	// keysRequired is set once a version of the configuration required keys, here or at a peer.
	keysRequired atomic.Bool
}

// NewState returns a state without a configuration.
func NewState() *State { return &State{moved: make(map[movedRoute]time.Time)} }

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
	s.recordMoved(configuration)
	s.current.Store(configuration)
	if configuration.Table.KeysRequired() {
		s.keysRequired.Store(true)
	}
	return true
}

// movedRoute identifies a route over versions of the configuration.
type movedRoute struct{ host, prefix string }

func movedRouteOf(r *route.Route) movedRoute {
	return movedRoute{host: strings.ToLower(r.Host), prefix: r.PathPrefix}
}

// recordMoved records the routes whose streams a configuration sends to other services than the one before; mu is held.
func (s *State) recordMoved(configuration *Configuration) {
	before, now := s.current.Load(), time.Now()
	for moved, until := range s.moved {
		if !now.Before(until) {
			delete(s.moved, moved)
		}
	}
	if before == nil {
		return
	}
	for _, r := range configuration.Table.MovedStreams(before.Table) {
		s.moved[movedRouteOf(r)] = now.Add(streamversion.Lifetime)
	}
}

// StreamServicesVary reports whether streams of some route may have begun at a service other than the one that a request
// would get now: the route divides them, or sent them elsewhere lately.
func (s *State) StreamServicesVary() bool {
	if current := s.current.Load(); current == nil || current.Table.DividesStreams() {
		return current != nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, until := range s.moved {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// StreamServiceVaries is StreamServicesVary for one route.
func (s *State) StreamServiceVaries(r *route.Route) bool {
	if r.DividesStreams() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, moved := s.moved[movedRouteOf(r)]
	return moved && time.Now().Before(until)
}
