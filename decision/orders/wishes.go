package orders

import (
	"cmp"
	"slices"
	"time"
)

// wish is the desired assignment of a server, with its reason.
type wish struct {
	assignment Assignment
	reason     string
}

// wishes returns the desired assignment of every server that has one. servers must
// be sorted by name.
func (s Settings) wishes(now time.Duration, servers []Server) map[string]wish {
	wished := make(map[string]wish, len(servers))
	for _, server := range servers {
		if !server.Spare {
			wished[server.Name] = wish{server.Declared, "the configuration declares it"}
		}
	}
	taken := make(map[string]bool)
	for _, server := range servers {
		need := s.replacement(now, server)
		if need == replacementNone {
			continue
		}
		if spare, found := chooseSpare(server, servers, taken, need); found {
			taken[spare.Name] = true
			wished[spare.Name] = wish{server.Declared, "it replaces " + server.Name}
		}
	}
	return wished
}

// replacementNeed is how much a declared server needs a spare in its place.
type replacementNeed uint8

const (
	replacementNone replacementNeed = iota
	// replacementKeep keeps a spare that already serves the assignment, but
	// starts no other.
	replacementKeep
	replacementStart
)

// replacement returns replacementStart for a declared server that failed at least
// Patience ago, and replacementKeep for one that failed more recently, does not
// serve its assignment yet, or returned less than ReleaseAfter ago.
func (s Settings) replacement(now time.Duration, server Server) replacementNeed {
	switch {
	case server.Spare || server.Declared.None():
		return replacementNone
	case !server.Alive && now-server.Since >= s.Patience:
		return replacementStart
	case !server.Alive:
		return replacementKeep
	case server.Observed != server.Declared || server.Loading:
		return replacementKeep
	case server.Returned && now-server.Since < s.ReleaseAfter:
		return replacementKeep
	default:
		return replacementNone
	}
}

// chooseSpare returns the free spare of the same service with the least distance,
// and of several such the first by name.
func chooseSpare(dead Server, servers []Server, taken map[string]bool, need replacementNeed) (Server, bool) {
	var free []Server
	for _, candidate := range servers {
		usable := candidate.Spare && candidate.Alive && candidate.Service == dead.Service && !taken[candidate.Name]
		if usable && (need == replacementStart || candidate.Observed == dead.Declared) {
			free = append(free, candidate)
		}
	}
	if len(free) == 0 {
		return Server{}, false
	}
	return slices.MinFunc(free, func(a, b Server) int {
		if order := cmp.Compare(distance(dead, a), distance(dead, b)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	}), true
}

// distance ranks a spare for a failed server; lower is better. A spare that already
// serves the assignment comes first, then an idle one, then one that has to drop
// another assignment. Among equals the same data centre comes before the same region.
func distance(dead, spare Server) int {
	rank := 0
	switch {
	case spare.Observed == dead.Declared:
	case spare.Observed.None():
		rank = 4
	default:
		rank = 8
	}
	switch {
	case spare.DataCentre == dead.DataCentre:
	case spare.Region == dead.Region:
		rank++
	default:
		rank += 2
	}
	return rank
}
