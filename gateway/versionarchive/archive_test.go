package versionarchive

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// memoryStore keeps the versions that each data centre wrote.
type memoryStore struct {
	mu     sync.Mutex
	kept   map[string][]streamversion.Served
	writes int
	down   bool
}

func newStore() *memoryStore { return &memoryStore{kept: make(map[string][]streamversion.Served)} }

func (s *memoryStore) WriteVersions(_ context.Context, dataCentre string, served []streamversion.Served) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return fault.New(fault.PlatformUnavailable, "down")
	}
	s.kept[dataCentre] = slices.Clone(served)
	return nil
}

func (s *memoryStore) Versions(context.Context) ([]streamversion.Served, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, fault.New(fault.PlatformUnavailable, "down")
	}
	var all []streamversion.Served
	for _, kept := range s.kept {
		all = append(all, kept...)
	}
	return all, nil
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// start runs an archive whose list of servers holds one of each version, until stop is called.
func start(store *memoryStore, versions ...string) (a *Archive, stop func()) {
	servers := directory.New()
	for _, version := range versions {
		servers.Put(&directory.Server{ID: version, Service: "s", Address: version, SoftwareVersion: version, Revision: 1})
	}
	a = New(Options{DataCentre: "a", Store: store, Directory: servers, Logger: zerolog.Nop(), Writes: func() bool { return true }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(done)
	}()
	return a, func() {
		cancel()
		<-done
	}
}

var v2 = streamversion.Origin{Service: "s", Version: "v2"}

// Guards against ORDER: after a restart the version that is listed seems to have been the only one.
func TestVersionThatLeftWhileNoInstanceRanIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		_, stop := start(store, "v1")
		time.Sleep(time.Second)
		stop()
		is.Equal(store.writes, 1)
		time.Sleep(time.Minute)
		for range 2 { // what the first of the restarted ones writes is true for the second
			a, stop := start(store, "v2")
			time.Sleep(time.Second)
			other, known := a.HasOther(v2)
			is.True(other && known && a.HasLeft("s") && a.HasSeveral())
			stop()
		}
		is.Equal(store.writes, 3)
	})
}

func TestVersionsAreUnknownUntilTheStoreWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		store.down = true
		a, stop := start(store, "v2")
		time.Sleep(10 * time.Second)
		_, known := a.HasOther(v2)
		is.True(!known)
		store.setDown(false)
		time.Sleep(2 * time.Second)
		other, known := a.HasOther(v2)
		is.True(known && !other)
		stop()
	})
}

// A service with a single version costs one write in five minutes, also while the store rejects them.
func TestSingleVersionIsSeldomWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		_, stop := start(store, "v1")
		time.Sleep(16 * time.Minute)
		is.True(store.writes <= 4)
		stop()
	})
}
