package discovery

import (
	"context"
	"time"
)

// catchUpTimeout bounds one call. Who comes while one runs waits for it and the next.
const catchUpTimeout = 200 * time.Millisecond

// catchUps shares calls to the store between those who want to know what it lists now.
type catchUps struct {
	// turn holds one value while a call runs.
	turn chan struct{}
	// begunAt is when the last call began, err its result.
	begunAt time.Time
	err     error
}

// CatchUp adds the servers that the store lists now and that are not known here: an instance that doesn't follow the
// store, or reads it seldom, may be some seconds behind. Removals wait for the watch. One call serves all who wait when
// it begins, so that it doesn't end with any of them. It returns the error of the call.
func (f *Follower) CatchUp() error {
	asked := time.Now()
	f.catchUps.turn <- struct{}{}
	defer func() { <-f.catchUps.turn }()
	if f.catchUps.begunAt.After(asked) {
		return f.catchUps.err
	}
	f.catchUps.begunAt = time.Now()
	f.catchUps.err = f.catchUp()
	return f.catchUps.err
}

func (f *Follower) catchUp() error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
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
