package serverrate

import "math"

// Share is the position of an instance among those that divide the rate of one server. The zero value has no part.
type Share struct {
	// Rank is the position of the instance at that server, from 0; Instances is the number of instances.
	Rank      int
	Instances int
}

// Holders returns how many instances have a part of a rate, in requests a second. Each may send one request at any moment, so
// that they are no more than the requests of a second, and one.
func Holders(rate float64, instances int) int {
	return min(max(0, instances), int(math.Ceil(min(rate, maxRate)))+1)
}

// part returns the instance's part of a rate, in requests a second, and the number of requests that it may send at once.
func (s Share) part(rate float64) (perSecond, burst float64) {
	holders := Holders(rate, s.Instances)
	if s.Rank < 0 || s.Rank >= holders {
		return 0, 0
	}
	return rate / float64(holders), max(1, (rate+1)/float64(holders))
}
