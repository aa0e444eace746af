package orders

import (
	"cmp"
	"slices"
	"time"
)

// wish is what a server should serve and why.
type wish struct {
	assignment Assignment
	reason     string
}

// wishes computes what every server should serve. servers is sorted by name.
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

// replacementNeed says whether a server's work needs a spare.
type replacementNeed uint8

const (
	replacementNone replacementNeed = iota
	// replacementKeep keeps a spare that already serves, but starts none.
	replacementKeep
	replacementStart
)

// replacement reports whether a declared server is dead for too long, or back
// for too short a time to release its replacement.
func (s Settings) replacement(now time.Duration, server Server) replacementNeed {
	switch {
	case server.Spare || server.Declared.None():
		return replacementNone
	case !server.Alive && now-server.AliveChangedAt >= s.ReplaceAfter:
		return replacementStart
	case !server.Alive:
		return replacementKeep
	case server.Observed != server.Declared || server.Loading:
		return replacementKeep
	case server.FailedBefore && now-server.AliveChangedAt < s.ReleaseAfter:
		return replacementKeep
	default:
		return replacementNone
	}
}

// chooseSpare picks the free spare that costs least: one that already serves
// the assignment, then the same data centre, then the same region, then by
// name.
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

// distance ranks a spare for a dead server; lower is better.
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
