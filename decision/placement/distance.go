package placement

import "time"

// Detour says how the distance of a candidate counts for one request.
type Detour uint8

// The kinds of detour.
const (
	// DetourUsual counts the distance as it is.
	DetourUsual Detour = iota
	// DetourDecided does not count it: it is decided that the request goes there.
	DetourDecided
	// DetourAgainst counts it twice, and for a server of the own data centre as that of another region: it is decided that
	// the request goes elsewhere.
	DetourAgainst
)

// detourCost returns the cost of a candidate's distance, with the wait that the instances of its data centre state beyond the
// wait that this one knows of.
func (l *Ledger) detourCost(candidate *Candidate, known, near, far time.Duration) time.Duration {
	cost := l.distanceCost(candidate.Place, near, far)
	switch candidate.Detour {
	case DetourDecided:
		cost = 0
	case DetourAgainst:
		if cost == 0 {
			cost = far
		} else {
			cost *= 2
		}
	case DetourUsual:
	}
	return cost + max(0, candidate.CentreWait-known)
}
