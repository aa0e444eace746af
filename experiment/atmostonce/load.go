package atmostonce

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// LoadResult is what a load without faults cost.
type LoadResult struct {
	Claims int
	Writes int
	Reads  int
	Bytes  int
	// Added95 is the time from submission to sending within which 95 in 100
	// calls were sent.
	AddedP95 time.Duration
	// Keys is the number of keys in the home's index.
	Keys int
}

// WritesPerClaim returns the platform writes for each claim with its outcome.
func (r LoadResult) WritesPerClaim() float64 { return float64(r.Writes) / float64(r.Claims) }

// add joins the results of two shards.
func (r LoadResult) add(other LoadResult) LoadResult {
	return LoadResult{
		Claims:   r.Claims + other.Claims,
		Writes:   r.Writes + other.Writes,
		Reads:    r.Reads + other.Reads,
		Bytes:    r.Bytes + other.Bytes,
		AddedP95: max(r.AddedP95, other.AddedP95),
		Keys:     r.Keys + other.Keys,
	}
}

// RunLoad sends claimed calls at a rate over a number of shards, each call
// landing on one of the instances of the home region.
func RunLoad(choices virtual.Choices, settings claim.Settings, rate float64, shards int, length time.Duration) LoadResult {
	var total LoadResult
	for range shards {
		total = total.add(runShard(choices, settings, rate/float64(shards), length))
	}
	return total
}

// homeInstances is the number of instances of a home region.
const homeInstances = 3

func runShard(choices virtual.Choices, settings claim.Settings, rate float64, length time.Duration) LoadResult {
	w := newWorld(choices, homeInstances, settings, longRetention)
	count := int(rate * length.Seconds())
	for key := range count {
		at := time.Duration(choices.IntN(int(length)))
		w.After(at, func() {
			w.submit(w.instances[choices.IntN(homeInstances)], &submission{key: key, at: w.Now})
		})
	}
	w.RunUntil(epoch.Add(length + time.Second))
	slices.Sort(w.added)
	return LoadResult{
		Claims:   count,
		Writes:   w.store.writes,
		Reads:    w.store.reads,
		Bytes:    w.store.bytes,
		AddedP95: w.added[len(w.added)*95/100],
		Keys:     w.instances[0].committer.KeyCount(),
	}
}
