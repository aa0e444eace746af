package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// awaitPart is the part of a client's patience for which a request waits at
	// an instance that knows no configuration or no backend server yet, and
	// awaitLimit bounds it. It answers the restart of many instances at once: the
	// store is asked again every second at most, and clients that are refused
	// come again only once.
	awaitPart  = 0.25
	awaitLimit = 2500 * time.Millisecond
	// awaitStep is the time between two looks.
	awaitStep = 20 * time.Millisecond
)

// awaitConfiguration returns the configuration in force once there is one with
// backend servers. It returns nil when none comes while the client can wait, and
// what is known when only the servers are missing.
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
