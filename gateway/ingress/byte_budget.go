package ingress

import (
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errBodiesFull means that the bodies of other requests use the memory for bodies.
var errBodiesFull = fault.New(fault.BodyMemoryFull, "the bodies of other requests use the memory for request bodies")

// byteBudget bounds the memory that the bodies of all requests use together.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// reservation is the memory that one request has reserved of a budget.
type reservation struct {
	budget *byteBudget
	bytes  int64
}

// reserve reserves memory for more bytes. It returns errBodiesFull when the budget
// is exhausted.
func (r *reservation) reserve(bytes int) error {
	if r.budget.used.Add(int64(bytes)) > r.budget.limit.Load() {
		r.budget.used.Add(-int64(bytes))
		return errBodiesFull
	}
	r.bytes += int64(bytes)
	return nil
}

// release returns the reserved memory to the budget.
func (r *reservation) release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}
