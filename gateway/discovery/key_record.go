package discovery

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// keyRecordInterval is the time between two checks whether the store has the record that requests need a key.
	keyRecordInterval = 500 * time.Millisecond
	// keyRecordRetryWait is the time between two attempts to write it.
	keyRecordRetryWait = 5 * time.Second
	// keyRecordBackupChecks is the number of checks after which an instance that isn't the first relay writes the record: the
	// first relay may be cut off from the store.
	keyRecordBackupChecks = 6
)

// RunKeyRecord keeps it on record in the store that requests need a key, until the context ends: an instance that starts
// while the newest version has no accounts knows nothing of the versions before. The first relay of a data centre writes the
// record, once, and again when the store has lost it.
func (f *Follower) RunKeyRecord(ctx context.Context) {
	missing := 0
	for pause.For(ctx, keyRecordInterval) {
		if !f.state.KeysRequired() || f.keysRecorded.Load() || !f.Following() {
			missing = 0
			continue
		}
		if missing++; f.role() != Primary && missing < keyRecordBackupChecks {
			continue
		}
		if err := f.feed.RecordKeysRequired(ctx); err != nil {
			event.Log(f.logger, event.KeysRequiredNotRecorded).Err(err).Send()
			pause.For(ctx, keyRecordRetryWait)
			continue
		}
		f.keysRecorded.Store(true)
	}
}
