package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Nearest prefers the data centre of the view's place and then its region, as
// long as a server there has room. When no server anywhere has room, the
// nearest queue is as good as any and costs no cross-region traffic.
type Nearest struct{}

// Name implements Preference.
func (Nearest) Name() string { return "distance" }

// distance orders places: the data centre, the region, the rest.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	elsewhere
	distances
)

// Prefer implements Preference.
func (Nearest) Prefer(view *snapshot.View, servers []int) []int {
	var all, withRoom [distances][]int
	for _, server := range servers {
		at := distanceOf(view, server)
		all[at] = append(all[at], server)
		if view.States.State(server).Load() < 1 {
			withRoom[at] = append(withRoom[at], server)
		}
	}
	for _, tier := range [][distances][]int{withRoom, all} {
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
