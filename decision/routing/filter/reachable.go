package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Reachable removes servers from which nothing was received for too long.
type Reachable struct{}

// Name implements Filter.
func (Reachable) Name() string { return "unreachable" }

// Keep implements Filter.
func (Reachable) Keep(view *snapshot.View, server int) bool {
	return !view.States.State(server).Unreachable
}
