// Package pause waits for a time or the end of a context, whichever is first.
package pause

import (
	"context"
	"time"
)

// For waits for the given time. It reports false if the context ended first.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
