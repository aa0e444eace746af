package filter

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
)

// Avoided prefers servers that the request doesn't ask to avoid.
type Avoided struct{}

// Name implements Preference.
func (Avoided) Name() string { return "avoided" }

// Prefer implements Preference.
func (Avoided) Prefer(view *snapshot.View, servers []int) []int {
	if len(view.Request.Avoid) == 0 {
		return nil
	}
	var preferred []int
	for _, server := range servers {
		if !slices.Contains(view.Request.Avoid, view.Servers[server].Name) {
			preferred = append(preferred, server)
		}
	}
	return preferred
}
