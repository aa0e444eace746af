package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Filter decides whether a server may be chosen.
type Filter interface {
	// Name identifies the filter in explanations.
	Name() string
	Keep(view *snapshot.View, server int) bool
}

// Preference narrows the servers to the ones to choose first.
type Preference interface {
	Name() string
	// Prefer returns the preferred servers in their order. An empty result
	// leaves all of them.
	Prefer(view *snapshot.View, servers []int) []int
}

// All returns every filter in the order in which entry instances apply them.
// The rules come first, so that nothing else can hide their refusal.
func All() []Filter {
	return []Filter{Rules{}, Draining{}, Loaded{}, Reachable{}, Breaker{}, Excluded{}, Isolated{}}
}

// Preferences returns every preference in the order of their application.
func Preferences() []Preference {
	return []Preference{Avoided{}, AvoidedDataCentre{}, Nearest{}}
}
