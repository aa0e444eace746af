package admission

import "sync"

// ticket implements serving.Ticket.
type ticket struct {
	controller *Controller
	id         string
	once       sync.Once
}

// Tokens implements serving.Ticket.
func (t *ticket) CountTokens(count int) { t.controller.tokens(t.id, count) }

// Release implements serving.Ticket.
func (t *ticket) Release() {
	t.once.Do(func() { t.controller.release(t.id) })
}
