package forward

// answerPart is the memory of one buffered answer. Only one goroutine may use it.
type answerPart struct {
	memory *answerMemory
	bytes  int
}

// grow takes memory for more bytes. It returns errAnswersFull when there is no room, and when the
// request has ended.
func (p *answerPart) grow(bytes int) error { return p.resize(p.bytes + bytes) }

// resize takes or returns memory so that the answer has a size in bytes. Errors are those of grow.
func (p *answerPart) resize(bytes int) error {
	change := bytes - p.bytes
	if change == 0 {
		return nil
	}
	m := p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return errAnswersFull
	}
	if change < 0 {
		m.budget.used.Add(int64(change))
	} else if err := m.budget.take(change, bytes); err != nil {
		return err
	}
	m.bytes += change
	p.bytes = bytes
	return nil
}

// release returns the memory of an answer that is no longer needed.
func (p *answerPart) release() { _ = p.resize(0) } // A request that has ended has returned it.
