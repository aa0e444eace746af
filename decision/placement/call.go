package placement

import (
	"time"
)

// ChooseCall returns the server that is expected to answer a call first, and false
// when there is no candidate. It chooses an avoided server only when all are avoided, and none
// that refuses requests.
func (l *Ledger) ChooseCall(now time.Time, candidates []Candidate) (string, bool) {
	best, found := l.cheapest(now, candidates, func(candidate *Candidate) time.Duration { return l.callCost(now, candidate) })
	if !found {
		return "", false
	}
	return candidates[best].ID, true
}

// callCost returns the expected time of a call, with an addition for failures.
func (l *Ledger) callCost(now time.Time, candidate *Candidate) time.Duration {
	distance := l.detourCost(candidate, 0, l.policy.CallNearCost, l.policy.CallFarCost)
	work := candidate.readWork()
	server := l.servers[candidate.ID]
	if server == nil {
		return l.addJitter(time.Duration(work*float64(l.policy.DefaultCallDuration)) + l.queueTime(candidate.Unknown, candidate, work) + distance)
	}
	server.decay(now, l.policy.CallHalfLife)
	// The assumed duration counts as one call, so that it determines the mean
	// again when the weight of the measured calls has decayed.
	duration := (time.Duration(server.weight*float64(server.meanDuration)) + l.policy.DefaultCallDuration) / time.Duration(server.weight+1)
	duration = max(time.Duration(work*float64(duration)), server.oldestPending(now))
	failed := server.failedFraction * server.weight / (server.weight + 1)
	queue := l.queueTime(server.load().plus(candidate.Unknown), candidate, work)
	return l.addJitter(duration + distance + queue + time.Duration(failed*float64(l.policy.FailureCost)))
}

// queueTime returns the expected wait for a slot of a candidate with a load.
func (l *Ledger) queueTime(load Load, candidate *Candidate, work float64) time.Duration {
	waiting := max(load.Requests+1-candidate.Slots, candidate.Waiting)
	if waiting <= 0 {
		return 0
	}
	return time.Duration(work * float64(l.policy.DefaultCallDuration) * float64(waiting) / float64(max(1, candidate.Slots)))
}

// CallStarted records that a call was sent to a server.
func (l *Ledger) CallStarted(now time.Time, id string) {
	server := l.record(id)
	server.ownLoad.Requests++
	server.pending = append(server.pending, now)
}

// CallEnded records the end of a call. failed means that the server sent no
// answer or an error.
func (l *Ledger) CallEnded(now, started time.Time, id string, failed bool) {
	server := l.record(id)
	server.endCall(started)
	server.addCall(now, l.policy.CallHalfLife, now.Sub(started), failed)
	if !failed {
		server.received(now)
		l.Ran(started, id)
	}
}

// CallCancelled records that the caller no longer waits for a call. The server
// sent nothing: the call counts only with its duration so far.
func (l *Ledger) CallCancelled(now, started time.Time, id string) {
	server := l.record(id)
	server.endCall(started)
	server.addCall(now, l.policy.CallHalfLife, now.Sub(started), false)
}
