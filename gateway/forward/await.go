package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// awaitPart is the fraction of a client's timeout for which a request waits
	// at an instance that has no configuration or no backend server yet;
	// awaitLimit bounds that wait. The wait covers a simultaneous restart of many
	// instances: the store is queried again every second at most, and clients
	// that are rejected retry only once.
	awaitPart  = 0.25
	awaitLimit = 2500 * time.Millisecond
	// awaitStep is the time between two checks.
	awaitStep = 20 * time.Millisecond
)

// awaitConfiguration waits for an in-force configuration and at least one backend
// server, and returns the configuration. When the wait ends without servers, it
// returns the configuration alone; when there is no configuration, it returns nil.
func (f *Forwarder) awaitConfiguration(ctx context.Context, patience time.Duration) *discovery.Configuration {
	if patience <= 0 {
		patience = usualPatience
	}
	for end := time.Now().Add(min(time.Duration(awaitPart*float64(patience)), awaitLimit)); ; {
		current := f.state.Current()
		known := current != nil && len(f.directory.Snapshot().All) > 0
		if known || !time.Now().Before(end) || !pause.For(ctx, awaitStep) {
			return current
		}
	}
}
