package generation

// openTicket is the permission of a generator without an admitter.
type openTicket struct{}

// Tokens implements serving.Ticket.
func (openTicket) CountTokens(int) {}

// Release implements serving.Ticket.
func (openTicket) Release() {}
