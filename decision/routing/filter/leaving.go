package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Leaving removes servers that are drained or leaving.
type Leaving struct{}

// Name implements Filter.
func (Leaving) Name() string { return "leaving" }

// Keep implements Filter.
func (Leaving) Keep(view *snapshot.View, server int) bool {
	return !view.Servers[server].Drained && !view.States.State(server).Leaving
}
