package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// configurationWaitFraction is the fraction of a client's timeout for which a
	// request waits at an instance that has no configuration or no backend server
	// yet; maxConfigurationWait bounds that wait. The wait covers a simultaneous
	// restart of many instances: the store is queried again every second at most,
	// and clients that are rejected retry only once.
	configurationWaitFraction = 0.25
	maxConfigurationWait      = 2500 * time.Millisecond
	// configurationPollInterval is the time between two checks.
	configurationPollInterval = 20 * time.Millisecond
)

// awaitConfiguration waits for an in-force configuration and the first backend
// server, and returns the configuration. When the wait ends without servers, it
// returns the configuration alone; when there is no configuration, it returns nil.
// An instance whose servers are all gone doesn't wait: it knows that it can't serve.
func (f *Forwarder) awaitConfiguration(ctx context.Context, timeout time.Duration) *discovery.Configuration {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	for end := time.Now().Add(min(time.Duration(configurationWaitFraction*float64(timeout)), maxConfigurationWait)); ; {
		current := f.state.Current()
		complete := current != nil && (len(f.directory.Snapshot().All) > 0 || f.directory.Emptied())
		if complete || !time.Now().Before(end) || !pause.For(ctx, configurationPollInterval) {
			return current
		}
	}
}
