package streamversion

import (
	"cmp"
	"slices"
	"time"
)

// maxServed is the maximum number of versions in a history; beyond it, those that left first are dropped.
const maxServed = 1024

// Served states that servers of a service had a software version.
type Served struct {
	Origin
	// LeftAt is when the last of them left; zero while some are listed.
	LeftAt time.Time
}

// History keeps which software versions the servers of each service had within the last Lifetime. It answers
// for streams that began before an instance started: their version may have left while no instance
// ran, so that the list of servers shows another one only. It is not safe for concurrent use.
type History struct {
	left map[Origin]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{left: make(map[Origin]time.Time)} }

// Merge adds what an earlier history held. Versions that are not listed any more leave at the next Observe.
func (h *History) Merge(served []Served) {
	for _, s := range served {
		left, known := h.left[s.Origin]
		if !known || (!left.IsZero() && (s.LeftAt.IsZero() || s.LeftAt.After(left))) {
			h.left[s.Origin] = s.LeftAt
		}
	}
}

// Observe compares the versions that servers have now, and drops those that left before Lifetime. It
// reports whether a version has come or left.
func (h *History) Observe(now time.Time, listed []Origin) bool {
	changed := false
	for _, origin := range listed {
		if left, known := h.left[origin]; !known || !left.IsZero() {
			h.left[origin], changed = time.Time{}, true
		}
	}
	for origin, left := range h.left {
		switch {
		case left.IsZero() && !slices.Contains(listed, origin):
			h.left[origin], changed = now, true
		case !left.IsZero() && now.Sub(left) >= Lifetime:
			delete(h.left, origin)
		}
	}
	h.bound()
	return changed
}

// bound drops the versions that left first while there are too many.
func (h *History) bound() {
	excess := len(h.left) - maxServed
	if excess <= 0 {
		return
	}
	served := h.Served()
	slices.SortStableFunc(served, func(a, b Served) int { return compareLeft(a.LeftAt, b.LeftAt) })
	for _, dropped := range served[:excess] {
		delete(h.left, dropped.Origin)
	}
}

// compareLeft orders by the time of leaving; what is still listed comes last.
func compareLeft(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// Served returns the versions of the history, sorted by service and version.
func (h *History) Served() []Served {
	served := make([]Served, 0, len(h.left))
	for origin, left := range h.left {
		served = append(served, Served{Origin: origin, LeftAt: left})
	}
	slices.SortFunc(served, func(a, b Served) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return served
}

// HasOther reports whether a service has or had another version than the given one.
func (h *History) HasOther(than Origin) bool {
	for origin := range h.left {
		if origin.Service == than.Service && origin.Version != than.Version {
			return true
		}
	}
	return false
}

// HasLeft reports whether a version of a service has left.
func (h *History) HasLeft(service string) bool {
	for origin, left := range h.left {
		if origin.Service == service && !left.IsZero() {
			return true
		}
	}
	return false
}

// HasSeveral reports whether any service has or had several versions.
func (h *History) HasSeveral() bool {
	versions := make(map[string]string)
	for origin := range h.left {
		if other, found := versions[origin.Service]; found && other != origin.Version {
			return true
		}
		versions[origin.Service] = origin.Version
	}
	return false
}
