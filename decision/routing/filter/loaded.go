package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Loaded removes servers that report another model or version than configured.
type Loaded struct{}

// Name implements Filter.
func (Loaded) Name() string { return "version" }

// Keep implements Filter.
func (Loaded) Keep(view *snapshot.View, server int) bool {
	return !view.States.State(server).OtherVersion
}
