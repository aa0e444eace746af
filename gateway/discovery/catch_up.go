package discovery

import (
	"context"
	"sync"
	"time"
)

// catchUps shares calls to the store between those who want to know what it lists now.
type catchUps struct {
	mu sync.Mutex
	// begunAt is when the last call began, err its result.
	begunAt time.Time
	err     error
}

// CatchUp adds the servers that the store lists now and that are not known here: an instance that doesn't follow the
// store, or reads it seldom, may be some seconds behind. Removals wait for the watch. One call serves all who wait when
// it begins. It returns the error of the call, which the context's end ends.
func (f *Follower) CatchUp(ctx context.Context) error {
	asked := time.Now()
	f.catchUps.mu.Lock()
	defer f.catchUps.mu.Unlock()
	if f.catchUps.begunAt.After(asked) {
		return f.catchUps.err
	}
	f.catchUps.begunAt = time.Now()
	f.catchUps.err = f.catchUp(ctx)
	return f.catchUps.err
}

func (f *Follower) catchUp(ctx context.Context) error {
	after := f.directory.Revision()
	if after == 0 {
		return nil // There is no list yet to which anything could be added.
	}
	changes, _, err := f.feed.ServersSince(ctx, after)
	if err != nil {
		return err
	}
	entries, _ := lastChanges(changes)
	// The directory keeps its revision, because the removals up to the answer's are missing.
	f.applyEntries(entries, 0, time.Time{})
	return nil
}
