package share

import (
	"cmp"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// claimant is one instance that takes part in a division.
type claimant struct {
	instance string
	demand   int
	// part is the result of the division.
	part int
}

// divide assigns each claimant its demand up to a common level (max-min
// fairness) and divides the rest equally. The parts sum to total exactly. Units
// that can't be divided go to the claimants with the highest demand, and at equal
// demand to those with the highest rendezvous weight for the key.
func divide(key string, total int, claimants []claimant) {
	if len(claimants) == 0 || total <= 0 {
		return
	}
	order := make([]*claimant, len(claimants))
	for i := range claimants {
		order[i] = &claimants[i]
	}
	slices.SortFunc(order, func(a, b *claimant) int {
		if byDemand := cmp.Compare(a.demand, b.demand); byDemand != 0 {
			return byDemand
		}
		if byWeight := cmp.Compare(rendezvous.Weight(key, a.instance), rendezvous.Weight(key, b.instance)); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a.instance, b.instance)
	})
	left := total
	for i, c := range order {
		c.part = min(c.demand, left/(len(order)-i))
		left -= c.part
	}
	divideEqually(left, order)
}

// divideEqually divides what is left equally; the claimants at the end of the order get
// one unit each of the remainder.
func divideEqually(left int, order []*claimant) {
	each, remainder := left/len(order), left%len(order)
	for i, c := range order {
		c.part += each
		if i >= len(order)-remainder {
			c.part++
		}
	}
}
