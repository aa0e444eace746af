package generation

// openTicket is the ticket of a generator without an admitter. It limits and
// counts nothing.
type openTicket struct{}

// Tokens implements serving.Ticket.
func (openTicket) Tokens(int) {}

// Release implements serving.Ticket.
func (openTicket) Release() {}
