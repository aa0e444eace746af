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
)

// scriptedFeed answers each call from a channel.
type scriptedFeed struct {
	Feed
	listed  chan []ServerChange
	watched chan []ServerChange
	failing atomic.Bool
	// askedFresh is set while the last list had to be fresh.
	askedFresh atomic.Bool
}

func (f *scriptedFeed) Servers(ctx context.Context, fresh bool) ([]ServerChange, uint64, error) {
	f.askedFresh.Store(fresh)
	return f.next(ctx, f.listed)
}

func (f *scriptedFeed) WatchServers(ctx context.Context, _ uint64) ([]ServerChange, uint64, error) {
	return f.next(ctx, f.watched)
}

func (f *scriptedFeed) next(ctx context.Context, from chan []ServerChange) ([]ServerChange, uint64, error) {
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

func put(id string, revision uint64) ServerChange {
	return ServerChange{ID: id, Revision: revision, Server: &directory.Server{ID: id, Service: "s", Address: id, Revision: revision}}
}

func removed(id string, revision uint64) ServerChange {
	return ServerChange{ID: id, Revision: revision}
}

// follow runs a follower over a feed in virtual time.
func follow(t *testing.T, test func(feed *scriptedFeed, servers *directory.Directory)) {
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

func known(servers *directory.Directory) int { return len(servers.Snapshot().All) }

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	follow(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		feed.watched <- []ServerChange{removed("a", 3)}
		synctest.Wait()
		is.Equal(known(servers), 1)
	})
}

// TestLapsedEntriesHaveTimeToComeBack plays the return of a store in which the
// entries of living servers lapsed.
func TestLapsedEntriesHaveTimeToComeBack(t *testing.T) {
	is := is.New(t)
	follow(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("back", 1), put("gone", 2)}
		feed.watched <- nil
		feed.failing.Store(true)
		time.Sleep(5 * time.Second)
		is.Equal(known(servers), 2) // nothing is removed while the store is away
		feed.failing.Store(false)
		feed.listed <- []ServerChange{put("other", 10)}
		synctest.Wait()
		is.Equal(known(servers), 3)
		time.Sleep(time.Second)
		feed.watched <- []ServerChange{put("back", 11)}
		synctest.Wait()
		time.Sleep(2 * time.Second)
		is.True(servers.Snapshot().Find("back") != nil)
		is.True(servers.Snapshot().Find("gone") == nil)
	})
}

func TestLostHistoryRemovesWhatIsNotListed(t *testing.T) {
	is := is.New(t)
	follow(t, func(feed *scriptedFeed, servers *directory.Directory) {
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		feed.watched <- nil
		feed.listed <- []ServerChange{put("b", 2)}
		synctest.Wait()
		is.Equal(known(servers), 1)
	})
}

// TestListeningInstanceStopsAfterItsFirstList starts an instance that does not
// know yet that others follow the store: it lists once, cheaply, and waits to hear
// of them before it would watch.
func TestListeningInstanceStopsAfterItsFirstList(t *testing.T) {
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
		is.True(!feed.askedFresh.Load())
		is.Equal(known(servers), 1)
		time.Sleep(settleTime / 2)
		alone.Store(false) // it hears of the others
		select {
		case feed.watched <- []ServerChange{put("b", 2)}:
			t.Fatal("it watches though others do")
		case <-time.After(10 * settleTime):
		}
		alone.Store(true) // the others are gone
		feed.listed <- []ServerChange{put("a", 1), put("b", 2)}
		synctest.Wait()
		is.True(feed.askedFresh.Load())
		feed.watched <- []ServerChange{put("c", 3)}
		synctest.Wait()
		is.Equal(known(servers), 3)
	})
}
