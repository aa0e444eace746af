package generation

// unlimitedTicket is the ticket of a generator without an admitter. It limits and
// counts nothing.
type unlimitedTicket struct{}

// CountTokens implements serving.Ticket.
func (unlimitedTicket) CountTokens(int) {}

// Release implements serving.Ticket.
func (unlimitedTicket) Release() {}
