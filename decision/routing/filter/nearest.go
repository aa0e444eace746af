package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Nearest prefers the data centre of the view's preferred place and then its
// region, as long as a server there has free capacity. When no server has any, it
// prefers the nearest: a near queue is as good and causes no cross-region traffic.
type Nearest struct{}

// Name implements Preference.
func (Nearest) Name() string { return "distance" }

// distance is the distance of a server from the preferred place, nearest first.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	elsewhere
	distanceCount
)

// Prefer implements Preference.
func (Nearest) Prefer(view *snapshot.View, servers []int) []int {
	var all, withCapacity [distanceCount][]int
	for _, server := range servers {
		at := distanceOf(view, server)
		all[at] = append(all[at], server)
		if view.States.State(server).Load() < 1 {
			withCapacity[at] = append(withCapacity[at], server)
		}
	}
	for _, tier := range [][distanceCount][]int{withCapacity, all} {
		for _, preferred := range tier {
			if len(preferred) > 0 {
				return preferred
			}
		}
	}
	return nil
}

func distanceOf(view *snapshot.View, server int) distance {
	at := view.Servers[server]
	switch {
	case at.Region != view.PreferredPlace.Region:
		return elsewhere
	case view.PreferredPlace.DataCentre == "" || at.DataCentre == view.PreferredPlace.DataCentre:
		return sameDataCentre
	default:
		return sameRegion
	}
}
