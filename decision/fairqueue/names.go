package fairqueue

import (
	"maps"
	"slices"
)

// names returns the active accounts in the order of their names.
func (q *Queue) names() []string {
	return slices.Sorted(maps.Keys(q.active))
}
