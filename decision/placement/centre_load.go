package placement

import (
	"slices"
	"time"
)

// CentreLoad is the load of the candidates in one data centre.
type CentreLoad struct {
	Place Place
	// Servers is the number of candidates that take requests.
	Servers int
	// Wait is the expected wait of one more request, as the mean of the better half of the servers.
	Wait time.Duration
	// Capacity is the number of servers, each multiplied by its speed.
	Capacity float64
}

// CentreLoads returns the load of each data centre, for generations of a size or, without one, for calls. Servers that are
// avoided or refuse requests count as lost.
func (l *Ledger) CentreLoads(now time.Time, generation *Generation, candidates []Candidate) []CentreLoad {
	var loads []CentreLoad
	waits := make(map[string][]time.Duration)
	for i := range candidates {
		candidate := &candidates[i]
		at := slices.IndexFunc(loads, func(load CentreLoad) bool { return load.Place == candidate.Place })
		if at < 0 {
			at = len(loads)
			loads = append(loads, CentreLoad{Place: candidate.Place})
		}
		if l.Refusing(now, candidate.ID) > 0 || l.Avoided(now, candidate.ID, candidate.Place.DataCentre) {
			continue
		}
		loads[at].Servers++
		loads[at].Capacity += 1 / candidate.readWork()
		waits[candidate.Place.DataCentre] = append(waits[candidate.Place.DataCentre], l.waitBefore(generation, candidate))
	}
	for i := range loads {
		loads[i].Wait = betterHalf(waits[loads[i].Place.DataCentre])
	}
	return loads
}

// waitBefore returns the expected wait of a generation until its own prompt is read, or of a call until it runs.
func (l *Ledger) waitBefore(generation *Generation, candidate *Candidate) time.Duration {
	load := l.load(candidate.ID).plus(candidate.Unknown)
	if generation == nil {
		return l.queueTime(load, candidate, candidate.readWork())
	}
	wait := l.readTime(candidate, load.PrefillTokens)
	if candidate.MemoryTokens > 0 && (candidate.Waiting > 0 || load.MemoryTokens+generation.MemoryTokens > candidate.MemoryTokens) {
		wait += l.policy.FullCost
	}
	return wait
}

// betterHalf returns the mean of the smaller half of waits.
func betterHalf(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	half := waits[:(len(waits)+1)/2]
	sum := time.Duration(0)
	for _, wait := range half {
		sum += wait
	}
	return sum / time.Duration(len(half))
}
