package quarantinearchive

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// Store keeps quarantines, with times by the local clock. Errors are *fault.Error.
type Store interface {
	// WriteQuarantines writes the quarantines that a data centre knows in place of those that it wrote before.
	WriteQuarantines(ctx context.Context, dataCentre string, quarantines []poison.Quarantine) error
	// Quarantines returns those of all data centres and the store's revision; what can't be read is left out.
	Quarantines(ctx context.Context) ([]poison.Quarantine, revision.Revision, error)
	// WatchQuarantines waits for changes after a revision, and returns the quarantines that data centres wrote since and the
	// store's revision. The code PlatformHistoryGone means that all have to be read again.
	WatchQuarantines(ctx context.Context, after revision.Revision) ([]poison.Quarantine, revision.Revision, error)
}
