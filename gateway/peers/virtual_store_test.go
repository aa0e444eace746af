package peers

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

const (
	// storeLatency is the time for one call to the store.
	storeLatency = 4 * time.Millisecond
	// virtualWatchWait is how long the store holds a watch without a change.
	virtualWatchWait = 1500 * time.Millisecond
)

// firstRevision is in an era, as of a store that states it.
const firstRevision = revision.Revision(1<<48 | 10)

var errVirtualStoreAway = fault.New(fault.PlatformUnavailable, "away")

// storedChange is a change in the history of a virtualStore; server is nil for a removal.
type storedChange struct {
	at     revision.Revision
	when   time.Time
	id     string
	server *directory.Server
}

// timeline collects what happens in an estate, for the output of a failed test.
type timeline struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func (l *timeline) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%8.3f ", time.Since(l.begun).Seconds())+fmt.Sprintf(format, values...))
}

// virtualStore is a store with the entries of backend servers.
type virtualStore struct {
	timeline *timeline
	mu       sync.Mutex
	revision revision.Revision
	history  []storedChange
	changed  chan struct{}
	away     bool
	// cutOff holds the data centres that don't reach the store.
	cutOff map[string]bool
	// returnedAt is when an outage last ended.
	returnedAt time.Time
	// staleness is the age of lists that need not be fresh.
	staleness time.Duration
	// leftAt holds when servers drained or were removed.
	leftAt map[string]time.Time
}

func newVirtualStore() *virtualStore {
	return &virtualStore{timeline: &timeline{begun: time.Now()}, revision: firstRevision, changed: make(chan struct{}), cutOff: make(map[string]bool), leftAt: make(map[string]time.Time)}
}

func (s *virtualStore) record(id string, server *directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if server != nil {
		server.ID, server.Service, server.Address, server.Revision = id, "calls", "address of "+id, s.revision
	}
	if server == nil || server.Draining {
		if _, left := s.leftAt[id]; !left {
			s.leftAt[id] = time.Now()
		}
	} else {
		delete(s.leftAt, id)
	}
	s.timeline.add("store: %v %s: listed %v, draining %v", s.revision, id, server != nil, server != nil && server.Draining)
	s.history = append(s.history, storedChange{s.revision, time.Now(), id, server})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *virtualStore) put(id string)    { s.record(id, &directory.Server{}) }
func (s *virtualStore) drain(id string)  { s.record(id, &directory.Server{Draining: true}) }
func (s *virtualStore) remove(id string) { s.record(id, nil) }

// writeElsewhere raises the revision by a change of an object of another kind.
func (s *virtualStore) writeElsewhere() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// lapse removes the entry of a server that runs.
func (s *virtualStore) lapse(id string) {
	s.remove(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leftAt, id)
}

func (s *virtualStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline.add("store: away %v", away)
	s.away = away
	if !away {
		s.returnedAt = time.Now()
	}
}

// cut cuts a data centre off.
func (s *virtualStore) cut(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[dataCentre] = true
}

// setStaleness sets the age of lists that need not be fresh.
func (s *virtualStore) setStaleness(staleness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = staleness
}

func (s *virtualStore) unavailable(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.cutOff[dataCentre]
}

// listedAt returns the entries at a time and the revision then.
func (s *virtualStore) listedAt(when time.Time) (map[string]*directory.Server, revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, asOf := make(map[string]*directory.Server), s.revision
	for _, change := range s.history {
		if change.when.After(when) {
			return listed, change.at - 1
		}
		if change.server == nil {
			delete(listed, change.id)
		} else {
			listed[change.id] = change.server
		}
	}
	return listed, asOf
}

// current returns the entries that the store lists.
func (s *virtualStore) current() map[string]*directory.Server {
	listed, _ := s.listedAt(time.Now())
	return listed
}

// virtualFeed reads a virtualStore for the instances of a data centre.
type virtualFeed struct {
	discovery.Feed
	store      *virtualStore
	dataCentre string
}

func (f virtualFeed) Servers(_ context.Context, fresh bool) ([]discovery.ServerChange, revision.Revision, error) {
	time.Sleep(storeLatency)
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	when := time.Now()
	if !fresh {
		f.store.mu.Lock()
		when = when.Add(-f.store.staleness)
		f.store.mu.Unlock()
	}
	listed, asOf := f.store.listedAt(when)
	var changes []discovery.ServerChange
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		changes = append(changes, serverChange(storedChange{at: listed[id].Revision, id: id, server: listed[id]}))
	}
	return changes, asOf, nil
}

func (f virtualFeed) WatchServers(ctx context.Context, after revision.Revision) ([]discovery.ServerChange, revision.Revision, error) {
	time.Sleep(storeLatency)
	end := time.After(virtualWatchWait)
	for {
		f.store.mu.Lock()
		var changes []discovery.ServerChange
		for _, change := range f.store.history {
			if change.at > after {
				changes = append(changes, serverChange(change))
			}
		}
		asOf, changed := f.store.revision, f.store.changed
		f.store.mu.Unlock()
		if f.store.unavailable(f.dataCentre) {
			return nil, 0, errVirtualStoreAway
		}
		if len(changes) > 0 {
			return changes, asOf, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, asOf, nil
		case <-ctx.Done():
			return nil, 0, errVirtualStoreAway
		}
	}
}

func (f virtualFeed) Configuration(context.Context) (*discovery.Configuration, revision.Revision, error) {
	time.Sleep(storeLatency)
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	return nil, firstRevision, nil
}

func (f virtualFeed) WatchConfiguration(ctx context.Context, after revision.Revision) (*discovery.Configuration, revision.Revision, error) {
	select {
	case <-time.After(virtualWatchWait):
	case <-ctx.Done():
	}
	if f.store.unavailable(f.dataCentre) {
		return nil, 0, errVirtualStoreAway
	}
	return nil, after, nil
}

// serverChange returns a change with an entry of its own.
func serverChange(change storedChange) discovery.ServerChange {
	made := discovery.ServerChange{ID: change.id, Revision: change.at}
	if change.server != nil {
		copied := *change.server
		made.Server = &copied
	}
	return made
}
