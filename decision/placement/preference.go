package placement

import "github.com/cespare/xxhash/v2"

// Preference divides the servers of each data centre among the instances of one
// data centre, so that each has some that the others choose last.
type Partition struct {
	// Rank is the own position among the instances, from 0, and Instances
	// their number.
	Rank      int
	Instances int
}

// Foreign marks the candidates that other instances prefer. Instances that know
// the same candidates and each other prefer different ones.
func (p Partition) MarkOutside(candidates []Candidate) {
	if p.Instances <= 1 {
		return
	}
	next := make(map[string]int)
	for i := range candidates {
		centre := candidates[i].Place.DataCentre
		at, known := next[centre]
		if !known {
			// Data centres begin with different instances.
			at = int(xxhash.Sum64String(centre) % uint64(p.Instances))
		}
		candidates[i].OutsidePartition = at%p.Instances != p.Rank
		next[centre] = at + 1
	}
}
