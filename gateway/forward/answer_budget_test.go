package forward

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against memory that is never returned, or returned twice, and against large answers that
// leave no room for small ones.
func TestAnswerMemoryIsReturnedOnce(t *testing.T) {
	is := is.New(t)
	budget := &answerBudget{}
	budget.limit.Store(1 << 20)
	first, second := &answerMemory{budget: budget}, &answerMemory{budget: budget}
	large, small := first.part(), second.part()
	is.NoErr(large.grow(768 << 10))
	is.True(errors.Is(large.grow(1), errAnswersFull))
	is.NoErr(small.grow(smallAnswerBytes))
	is.True(errors.Is(small.grow(1), errAnswersFull))
	large.release()
	is.Equal(budget.used.Load(), int64(smallAnswerBytes))
	is.NoErr(large.grow(100))
	first.close()
	large.release()
	is.True(errors.Is(large.grow(1), errAnswersFull))
	second.close()
	is.Equal(budget.used.Load(), int64(0))
}
