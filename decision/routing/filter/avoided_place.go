package filter

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
)

// AvoidedPlace prefers servers in other data centres than those of servers
// that went silent.
type AvoidedDataCentre struct{}

// Name implements Preference.
func (AvoidedDataCentre) Name() string { return "avoided data centre" }

// Prefer implements Preference.
func (AvoidedDataCentre) Prefer(view *snapshot.View, servers []int) []int {
	if len(view.Request.AvoidNear) == 0 {
		return nil
	}
	var places []string
	for _, name := range view.Request.AvoidNear {
		if index, ok := view.Index(name); ok {
			places = append(places, view.Servers[index].DataCentre)
		}
	}
	var preferred []int
	for _, server := range servers {
		if !slices.Contains(places, view.Servers[server].DataCentre) {
			preferred = append(preferred, server)
		}
	}
	return preferred
}
