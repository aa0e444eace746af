package rank

import "slices"

// Order holds the ranks that the requests of one service have, the highest (the lowest number) first.
type Order struct {
	ranks []int
}

// NewOrder returns the order of ranks, which may repeat.
func NewOrder(ranks []int) Order {
	sorted := slices.Clone(ranks)
	slices.Sort(sorted)
	return Order{ranks: slices.Compact(sorted)}
}

// Differ reports whether requests have different ranks.
func (o Order) Differ() bool { return len(o.ranks) > 1 }

// Count returns the number of different ranks.
func (o Order) Count() int { return len(o.ranks) }

// Position returns the position of a rank in the order, 0 for the highest. A rank that the order doesn't hold counts as the
// next lower one that it holds.
func (o Order) Position(rank int) int {
	position, _ := slices.BinarySearch(o.ranks, rank)
	return min(position, max(0, len(o.ranks)-1))
}

// MaxLevels is the number of levels, which go from 0, the most urgent, to MaxLevels-1.
const MaxLevels = 10

// Level returns the level of a request, and false where ranks don't differ. begun says that a part of its stream was
// delivered. With more ranks than levels, the lowest ranks share a level.
func (o Order) Level(rank int, begun bool) (level int, differ bool) {
	if !o.Differ() {
		return 0, false
	}
	band := min(len(o.ranks), MaxLevels/2)
	level = min(o.Position(rank), band-1)
	if !begun {
		level += band
	}
	return level, true
}

// Ranks returns the ranks, the highest first.
func (o Order) Ranks() []int { return slices.Clone(o.ranks) }
