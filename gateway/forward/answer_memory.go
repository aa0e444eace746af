package forward

import "sync"

// answerMemory is the memory of one request's buffered answers, those of all its attempts. It is
// safe for concurrent use: attempts may still run when the request has ended.
type answerMemory struct {
	budget *answerBudget
	mu     sync.Mutex
	bytes  int
	closed bool
}

// part returns the memory of one answer.
func (m *answerMemory) part() *answerPart { return &answerPart{memory: m} }

// close returns all memory to the budget. Later parts get none.
func (m *answerMemory) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.used.Add(-int64(m.bytes))
	m.bytes, m.closed = 0, true
}
