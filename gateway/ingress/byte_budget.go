package ingress

import (
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errBodiesFull means that the bodies of other requests use the memory for bodies.
var errBodiesFull = fault.New(fault.BodiesFull, "the bodies of other requests use the memory for request bodies")

// byteBudget bounds the memory that the bodies of all requests use together.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// share is the memory that one request has reserved of a budget.
type share struct {
	budget *byteBudget
	taken  int64
}

// reserve reserves memory for more bytes. It returns errBodiesFull when the budget
// is exhausted.
func (s *share) reserve(bytes int) error {
	if s.budget.used.Add(int64(bytes)) > s.budget.limit.Load() {
		s.budget.used.Add(-int64(bytes))
		return errBodiesFull
	}
	s.taken += int64(bytes)
	return nil
}

// release returns the reserved memory to the budget.
func (s *share) release() {
	s.budget.used.Add(-s.taken)
	s.taken = 0
}
