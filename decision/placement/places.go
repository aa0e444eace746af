package placement

import "math"

// FreePlaces returns for how many generations of a size a candidate has, as far as is known, a free slot and enough memory now,
// also when all that run there hold what they hold at their end: none while requests wait there. For a call the size is zero.
func (l *Ledger) FreePlaces(generation Generation, candidate *Candidate) int {
	if candidate.Waiting > 0 {
		return 0
	}
	load, free := l.load(candidate.ID).plus(candidate.Unknown), math.MaxInt
	if candidate.Slots > 0 {
		free = candidate.Slots - load.Requests
	}
	if candidate.MemoryTokens > 0 && generation.MemoryTokens > 0 {
		free = min(free, (candidate.MemoryTokens-load.MemoryTokens)/generation.MemoryTokens)
	}
	return max(0, free)
}
