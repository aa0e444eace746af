package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// scriptedFeed answers list and watch calls with the next value of a channel: nil stands
// for a history that is gone.
type scriptedFeed struct {
	Feed
	listed  chan []ServerChange
	watched chan []ServerChange
	failing atomic.Bool
	// freshRequested says whether the last list call asked for a fresh list.
	freshRequested atomic.Bool
}

func (f *scriptedFeed) Servers(ctx context.Context, fresh bool) ([]ServerChange, revision.Revision, error) {
	f.freshRequested.Store(fresh)
	return f.next(ctx, f.listed)
}

func (f *scriptedFeed) WatchServers(ctx context.Context, _ revision.Revision) ([]ServerChange, revision.Revision, error) {
	return f.next(ctx, f.watched)
}

func (f *scriptedFeed) next(ctx context.Context, from chan []ServerChange) ([]ServerChange, revision.Revision, error) {
	if f.failing.Load() {
		return nil, 0, fault.New(fault.PlatformUnavailable, "away")
	}
	select {
	case <-ctx.Done():
		return nil, 0, fault.New(fault.PlatformUnavailable, "ended")
	case changes := <-from:
		if changes == nil {
			return nil, 0, fault.New(fault.PlatformHistoryGone, "gone")
		}
		return changes, changes[0].Revision, nil
	}
}

func put(id string, at revision.Revision) ServerChange {
	return ServerChange{ID: id, Revision: at, Server: &directory.Server{ID: id, Service: "s", Address: id, Revision: at}}
}

func removed(id string, at revision.Revision) ServerChange {
	return ServerChange{ID: id, Revision: at}
}

// runFollower runs a follower over a feed in virtual time.
func runFollower(t *testing.T, test func(feed *scriptedFeed, servers *directory.Directory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{listed: make(chan []ServerChange), watched: make(chan []ServerChange)}
		servers := directory.New()
		follower := NewFollower(feed, NewState(), servers, func() RelayRole { return Primary }, func() {}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second) // lets the goroutines end
		}()
		go follower.RunServers(ctx)
		go func() {
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				follower.Tick(time.Now())
			}
		}()
		test(feed, servers)
	})
}

func countServers(servers *directory.Directory) int { return len(servers.Snapshot().All) }

func TestRemovedEntryRemovesItsServerAtOnce(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		feed.watched <- []ServerChange{removed("a", 3)}
		synctest.Wait()
		is.Equal(countServers(servers), 1)
	})
}

// TestMissingEntriesHaveAGraceAfterAnOutage guards against removing running servers whose
// entries expired while the store was unavailable and which write them again after it.
func TestMissingEntriesHaveAGraceAfterAnOutage(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("back", 1), put("gone", 2)}
		feed.watched <- nil
		feed.failing.Store(true)
		time.Sleep(5 * time.Second)
		is.Equal(countServers(servers), 2) // nothing is removed while the store is unavailable
		feed.failing.Store(false)
		feed.listed <- []ServerChange{put("other", 10)}
		synctest.Wait()
		is.Equal(countServers(servers), 3)
		time.Sleep(time.Second)
		feed.watched <- []ServerChange{put("back", 11)}
		synctest.Wait()
		time.Sleep(2 * time.Second)
		is.True(servers.Snapshot().Find("back") != nil)
		is.True(servers.Snapshot().Find("gone") == nil)
	})
}

func TestListAfterHistoryGoneRemovesUnlistedServers(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		feed.watched <- nil
		feed.listed <- []ServerChange{put("b", 2)}
		synctest.Wait()
		is.Equal(countServers(servers), 1)
	})
}

// TestPassiveInstanceStopsAfterItsFirstList guards against needless calls to the store
// from a starting instance that has no digests of peers yet: it reads one list that need
// not be fresh, and waits for digests before it watches.
func TestPassiveInstanceStopsAfterItsFirstList(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{listed: make(chan []ServerChange), watched: make(chan []ServerChange)}
		servers := directory.New()
		var alone atomic.Bool
		alone.Store(true)
		follower := NewFollower(feed, NewState(), servers, func() RelayRole {
			if alone.Load() {
				return Primary
			}
			return Passive
		}, func() {}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second) // lets the goroutines end
		}()
		go follower.RunServers(ctx)
		feed.listed <- []ServerChange{put("a", 1)}
		synctest.Wait()
		is.True(!feed.freshRequested.Load())
		is.Equal(countServers(servers), 1)
		time.Sleep(firstListPause / 2)
		alone.Store(false) // digests of peers have arrived
		select {
		case feed.watched <- []ServerChange{put("b", 2)}:
			t.Fatal("the instance watches although others do")
		case <-time.After(10 * firstListPause):
		}
		alone.Store(true) // the peers have failed
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		synctest.Wait()
		is.True(feed.freshRequested.Load())
		feed.watched <- []ServerChange{put("c", 3)}
		synctest.Wait()
		is.Equal(countServers(servers), 3)
	})
}

// Guards against a server that is kept for good: it left again, beside an instance that got its return from a peer, while its
// first removal waited for the end of the grace.
func TestServerThatLeavesAgainInTheGraceIsRemoved(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		feed.watched <- nil
		feed.failing.Store(true)
		time.Sleep(5 * time.Second)
		feed.failing.Store(false)
		feed.listed <- []ServerChange{put("b", 10)}
		synctest.Wait()
		servers.Import(directory.Export{Revision: 11, AsOf: 11, Servers: []*directory.Server{put("a", 11).Server}})
		time.Sleep(time.Second)
		feed.watched <- []ServerChange{removed("a", 12)}
		time.Sleep(missingEntryGrace)
		is.True(servers.Snapshot().Find("a") == nil)
	})
}

// Guards against DRAIN: a removal waits as after an outage, because the first list that an instance reads is the first one of its
// era that it knows.
func TestFirstListOfAnEraIsNoReturnOfTheStore(t *testing.T) {
	is := is.New(t)
	era := func(number revision.Revision) revision.Revision { return 1<<48 | number }
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", era(1)), put("b", era(2))}
		feed.watched <- []ServerChange{removed("a", era(3))}
		synctest.Wait()
		is.Equal(countServers(servers), 1)
	})
}

// Guards against removing running servers whose entries an older copy of the store lacks: an instance has the list of the era before
// from a peer.
func TestFirstListOfALaterEraThanThePeersHasAGrace(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(feed *scriptedFeed, servers *directory.Directory) {
		servers.Import(directory.Export{Complete: true, AsOf: 9, NamesAll: true, Servers: []*directory.Server{put("a", 8).Server}})
		feed.listed <- []ServerChange{put("b", 1<<48|7)}
		synctest.Wait()
		is.Equal(countServers(servers), 2)
		time.Sleep(missingEntryGrace + time.Second)
		is.Equal(countServers(servers), 1)
	})
}
