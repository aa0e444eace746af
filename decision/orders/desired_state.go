package orders

import (
	"cmp"
	"slices"
	"time"
)

// desiredState is the desired assignment of a server, with its reason.
type desiredState struct {
	assignment Assignment
	reason     string
}

// desiredStates returns the desired assignment of every server that has one. servers
// must be sorted by name.
func (s Settings) desiredStates(now time.Duration, servers []Server) map[string]desiredState {
	desired := make(map[string]desiredState, len(servers))
	for _, server := range servers {
		if !server.Spare {
			desired[server.Name] = desiredState{server.Declared, "the configuration declares it"}
		}
	}
	taken := make(map[string]bool)
	for _, server := range servers {
		need := s.replacementNeedOf(now, server)
		if need == needNone {
			continue
		}
		if spare, found := chooseSpare(server, servers, taken, need); found {
			taken[spare.Name] = true
			desired[spare.Name] = desiredState{server.Declared, "it replaces " + server.Name}
		}
	}
	return desired
}

// replacementNeed is how much a declared server needs a spare in its place.
type replacementNeed uint8

const (
	needNone replacementNeed = iota
	// needKeep keeps a spare that already serves the assignment, but starts
	// no other.
	needKeep
	needStart
)

// replacementNeedOf returns needStart for a declared server that failed at least
// ReplaceAfter ago, and needKeep for one that failed more recently, does not serve
// its assignment yet, or returned less than ReleaseAfter ago.
func (s Settings) replacementNeedOf(now time.Duration, server Server) replacementNeed {
	switch {
	case server.Spare || server.Declared.None():
		return needNone
	case !server.Alive && now-server.AliveChangedAt >= s.ReplaceAfter:
		return needStart
	case !server.Alive:
		return needKeep
	case server.Observed != server.Declared || server.Loading:
		return needKeep
	case server.FailedBefore && now-server.AliveChangedAt < s.ReleaseAfter:
		return needKeep
	default:
		return needNone
	}
}

// chooseSpare returns the free spare of the same service with the least distance,
// and of several such the first by name.
func chooseSpare(failed Server, servers []Server, taken map[string]bool, need replacementNeed) (Server, bool) {
	var free []Server
	for _, candidate := range servers {
		usable := candidate.Spare && candidate.Alive && candidate.Service == failed.Service && !taken[candidate.Name]
		if usable && (need == needStart || candidate.Observed == failed.Declared) {
			free = append(free, candidate)
		}
	}
	if len(free) == 0 {
		return Server{}, false
	}
	return slices.MinFunc(free, func(a, b Server) int {
		if order := cmp.Compare(distance(failed, a), distance(failed, b)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	}), true
}

// distance ranks a spare for a failed server; lower is better. A spare that already
// serves the assignment comes first, then an idle one, then one that has to drop
// another assignment. Among equals the same data centre comes before the same region.
func distance(failed, spare Server) int {
	rank := 0
	switch {
	case spare.Observed == failed.Declared:
	case spare.Observed.None():
		rank = 4
	default:
		rank = 8
	}
	switch {
	case spare.DataCentre == failed.DataCentre:
	case spare.Region == failed.Region:
		rank++
	default:
		rank += 2
	}
	return rank
}
