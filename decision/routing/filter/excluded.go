package filter

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
)

// Excluded removes the servers that the request excludes by name.
type Excluded struct{}

// Name implements Filter.
func (Excluded) Name() string { return "excluded" }

// Keep implements Filter.
func (Excluded) Keep(view *snapshot.View, server int) bool {
	return !slices.Contains(view.Request.Exclude, view.Servers[server].Name)
}
