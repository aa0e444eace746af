package placement

import (
	"time"
)

// ChooseCall returns the server that is expected to answer a call first, and
// false when there is no candidate. Avoided servers are only chosen when all
// are avoided.
func (l *Ledger) ChooseCall(now time.Time, candidates []Candidate) (string, bool) {
	best, found := l.cheapest(now, candidates, func(candidate *Candidate) time.Duration { return l.callCost(now, candidate) })
	if !found {
		return "", false
	}
	return candidates[best].ID, true
}

func (l *Ledger) callCost(now time.Time, candidate *Candidate) time.Duration {
	distance := l.distance(candidate.Place, l.policy.CallNearCost, l.policy.CallFarCost)
	known := l.servers[candidate.ID]
	if known == nil {
		return l.spread(l.policy.DefaultCallDuration + distance)
	}
	known.age(now, l.policy.CallHalfLife)
	// The usual duration counts as one call, so that it is believed again when
	// the others are forgotten.
	duration := (time.Duration(known.weight*float64(known.duration)) + l.policy.DefaultCallDuration) / time.Duration(known.weight+1)
	duration = max(duration, known.oldestPending(now))
	failed := known.failed * known.weight / (known.weight + 1)
	load := known.load()
	queue := time.Duration(0)
	if waiting := load.Requests + 1 - candidate.Slots; waiting > 0 {
		queue = l.policy.DefaultCallDuration * time.Duration(waiting) / time.Duration(candidate.Slots)
	}
	return l.spread(duration + distance + queue + time.Duration(failed*float64(l.policy.FailureCost)))
}

// CallStarted notes a call to a server.
func (l *Ledger) CallStarted(now time.Time, id string) {
	known := l.record(id)
	known.own.Requests++
	known.pending = append(known.pending, now)
}

// CallEnded notes the end of a call; failed says that the server did not
// answer it well.
func (l *Ledger) CallEnded(now, started time.Time, id string, failed bool) {
	known := l.record(id)
	known.ended(started)
	known.answered(now, l.policy.CallHalfLife, now.Sub(started), failed)
	if !failed {
		known.heardAt(now)
	}
}

// CallCancelled notes that nobody waits for a call any more. The server sent
// nothing: only the wait so far is known of it.
func (l *Ledger) CallCancelled(now, started time.Time, id string) {
	known := l.record(id)
	known.ended(started)
	known.answered(now, l.policy.CallHalfLife, now.Sub(started), false)
}
