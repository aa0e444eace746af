package ingress

import (
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errBodiesFull means that the bodies of other requests take the memory.
var errBodiesFull = fault.New(fault.BodyMemoryFull, "the bodies of other requests take the memory")

// byteBudget bounds the memory that the bodies of all requests take together.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// share is what one request has taken of a budget.
type share struct {
	budget *byteBudget
	taken  int64
}

// reserve takes memory for more bytes; errBodiesFull when there is none.
func (s *share) reserve(bytes int) error {
	if s.budget.used.Add(int64(bytes)) > s.budget.limit.Load() {
		s.budget.used.Add(-int64(bytes))
		return errBodiesFull
	}
	s.taken += int64(bytes)
	return nil
}

// release gives back what was taken.
func (s *share) release() {
	s.budget.used.Add(-s.taken)
	s.taken = 0
}
