package fairqueue

import (
	"maps"
	"slices"
)

// activeNames returns the names of the active accounts in order.
func (q *Queue) activeNames() []string {
	return slices.Sorted(maps.Keys(q.activeAccounts))
}
