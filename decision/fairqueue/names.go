package fairqueue

import (
	"maps"
	"slices"
)

// names returns the names of the active accounts in order.
func (q *Queue) names() []string {
	return slices.Sorted(maps.Keys(q.active))
}
