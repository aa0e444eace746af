package admission

import "time"

// Claim states which requests wait at one instance, towards one server.
type Claim struct {
	// Rank is the position of the highest rank that waits at the instance, or of the rank for which room is taken.
	Rank int
	// Waiting is the number of requests that wait at the instance.
	Waiting int
	// Weight is the instance's weight at the server. All instances compute it alike; no two have the same.
	Weight uint64
}

// maxTurns bounds for how many times patience a place may be free.
const maxTurns = 3

// MayTake reports whether an instance may take one of a server's free places, which has been free for a time: the instances
// with requests of the highest rank come first, among those with the same rank the ones with a higher weight. Those that come
// later than there are places may take one, too, each after as many times patience as there are instances before it, up to maxTurns: so a place
// that those don't use isn't left free, and not all take it at once.
//
// It answers the load of many instances that hear at about the same time that one server has room.
func MayTake(free int, own Claim, others []Claim, freeFor, patience time.Duration) bool {
	requests, instances := 0, 0
	for _, other := range others {
		if other.Waiting > 0 && (other.Rank < own.Rank || other.Rank == own.Rank && other.Weight > own.Weight) {
			requests += other.Waiting
			instances++
		}
	}
	return free > 0 && (requests < free || freeFor >= time.Duration(min(instances, maxTurns))*patience)
}
