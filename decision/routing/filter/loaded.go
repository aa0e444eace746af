package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Loaded removes servers that report another model or version than the request
// needs, and spare servers without a report. It keeps every server for a request
// without a model, such as a call to a plain service.
type Loaded struct{}

// Name implements Filter.
func (Loaded) Name() string { return "version" }

// Keep implements Filter.
func (Loaded) Keep(view *snapshot.View, server int) bool {
	state := view.States.State(server)
	if view.Request.Model == "" {
		return true
	}
	if !state.Reported {
		return !view.Servers[server].Spare
	}
	return state.LoadedModel == view.Request.Model && state.LoadedVersion == view.Version
}
