package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Isolated removes servers that run another suspected poison request when the
// request itself is a suspect.
type Isolated struct{}

// Name implements Filter.
func (Isolated) Name() string { return "suspects" }

// Keep implements Filter.
func (Isolated) Keep(view *snapshot.View, server int) bool {
	return !view.Request.IsolatedSuspect || view.States.State(server).Suspects == 0
}
