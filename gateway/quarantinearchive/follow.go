package quarantinearchive

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

// RunFollow passes the quarantines that any instance writes to Learn until the context ends, while this instance is the
// writer of its data centre. Digests alone don't reach an instance whose links to the others are cut.
func (a *Archive) RunFollow(ctx context.Context) {
	var position revision.Revision
	listed := false
	for ctx.Err() == nil {
		if !a.asked.Load() || !a.options.Writes() {
			listed = false
			pause.For(ctx, checkInterval)
			continue
		}
		quarantines, asOf, err := a.read(ctx, position, listed)
		switch {
		case err == nil:
			if len(quarantines) > 0 {
				a.options.Learn(quarantines)
			}
			position, listed = asOf, true
			pause.For(ctx, checkInterval)
		case fault.HasCode(err, fault.PlatformHistoryGone):
			listed = false
			pause.For(ctx, checkInterval)
		default:
			pause.For(ctx, retryInterval)
		}
	}
}

func (a *Archive) read(ctx context.Context, position revision.Revision, listed bool) ([]poison.Quarantine, revision.Revision, error) {
	if listed {
		return a.options.Store.WatchQuarantines(ctx, position)
	}
	return a.options.Store.Quarantines(ctx)
}
