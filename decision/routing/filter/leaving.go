package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Leaving removes servers that are drained or leaving.
type Draining struct{}

// Name implements Filter.
func (Draining) Name() string { return "leaving" }

// Keep implements Filter.
func (Draining) Keep(view *snapshot.View, server int) bool {
	return !view.Servers[server].Drained && !view.States.State(server).Draining
}
