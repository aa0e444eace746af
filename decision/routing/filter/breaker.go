package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Breaker removes servers whose circuit breaker allows no attempt.
type Breaker struct{}

// Name implements Filter.
func (Breaker) Name() string { return "breaker" }

// Keep implements Filter.
func (Breaker) Keep(view *snapshot.View, server int) bool {
	return !view.States.State(server).BreakerOpen
}
