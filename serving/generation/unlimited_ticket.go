package generation

// unlimitedTicket is the ticket of a generator without an admitter. It limits and
// counts nothing.
type unlimitedTicket struct{}

// Tokens implements serving.Ticket.
func (unlimitedTicket) Tokens(int) {}

// Release implements serving.Ticket.
func (unlimitedTicket) Release() {}
