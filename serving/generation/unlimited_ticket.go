package generation

// unlimitedTicket is the ticket of a generator without an admitter. It limits and
// counts nothing.
type unlimitedTicket struct{}

// Tokens implements serving.Ticket.
func (unlimitedTicket) CountTokens(int) {}

// Release implements serving.Ticket.
func (unlimitedTicket) Release() {}
