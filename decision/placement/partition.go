package placement

import "github.com/cespare/xxhash/v2"

// Partition divides the servers of each data centre among the instances of one
// data centre, so that each instance has a part which the others choose last.
type Partition struct {
	// Rank is the position of this instance among the instances, from 0;
	// Instances is their number.
	Rank      int
	Instances int
}

// MarkOutside marks the candidates in the partitions of other instances. Instances
// with the same candidates and the same view of each other have disjoint partitions.
func (p Partition) MarkOutside(candidates []Candidate) {
	if p.Instances <= 1 {
		return
	}
	next := make(map[string]int)
	for i := range candidates {
		centre := candidates[i].Place.DataCentre
		position, found := next[centre]
		if !found {
			// The division of each data centre starts at another instance.
			position = int(xxhash.Sum64String(centre) % uint64(p.Instances))
		}
		candidates[i].OutsidePartition = position%p.Instances != p.Rank
		next[centre] = position + 1
	}
}
