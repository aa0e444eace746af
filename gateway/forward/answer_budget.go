package forward

import (
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errAnswersFull means that the answers to other requests use the memory for answers.
var errAnswersFull = fault.New(fault.AnswerMemoryFull, "the answers to other requests use the memory for answers")

const (
	// smallAnswerBytes is the size in bytes up to which an answer may use the whole budget. Larger
	// ones may use largeAnswersShare of it, so that answers without end leave room for the others.
	smallAnswerBytes  = 32 << 10
	largeAnswersShare = 0.75
)

// answerBudget bounds the memory that buffered answers use together. It is safe for concurrent use.
type answerBudget struct {
	// limit and used are in bytes.
	limit, used atomic.Int64
}

// take takes more bytes for an answer that then has total bytes. It returns errAnswersFull when
// there is no room.
func (b *answerBudget) take(bytes, total int) error {
	limit := b.limit.Load()
	if total > smallAnswerBytes {
		limit = int64(largeAnswersShare * float64(limit))
	}
	if b.used.Add(int64(bytes)) > limit {
		b.used.Add(-int64(bytes))
		return errAnswersFull
	}
	return nil
}
