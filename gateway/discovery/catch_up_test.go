package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// countingFeed answers after a time, or when the call is cancelled.
type countingFeed struct {
	Feed
	calls   int
	took    time.Duration
	changes []ServerChange
}

func (f *countingFeed) ServersSince(ctx context.Context, after revision.Revision) ([]ServerChange, revision.Revision, error) {
	f.calls++
	select {
	case <-ctx.Done():
		return nil, 0, fault.New(fault.PlatformUnavailable, "no answer")
	case <-time.After(f.took):
		return f.changes, after + 10, nil
	}
}

func TestCatchUpAddsServersAndSharesItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers := directory.New()
		servers.Put(put("old", 5).Server)
		feed := &countingFeed{took: 100 * time.Millisecond, changes: []ServerChange{put("joined", 7), put("gone", 8), removed("gone", 9)}}
		f := NewFollower(feed, NewState(), servers, func() RelayRole { return Passive }, func() {}, zerolog.Nop())
		ended := make(chan error)
		for range 5 {
			go func() { ended <- f.CatchUp() }()
			time.Sleep(time.Millisecond)
		}
		for range 5 {
			is.NoErr(<-ended)
		}
		is.Equal(feed.calls, 2) // the first one, and one for those who came later
		is.True(servers.Snapshot().Find("joined") != nil)
		is.True(servers.Snapshot().Find("gone") == nil)
		is.Equal(servers.Revision(), revision.Revision(5)) // the removals are missing
		feed.took = time.Minute
		begun := time.Now()
		is.True(f.CatchUp() != nil)
		is.Equal(time.Since(begun), catchUpTimeout)
	})
}
