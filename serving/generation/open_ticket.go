package generation

// unlimitedTicket is the ticket of a generator without an admitter.
type unlimitedTicket struct{}

// CountTokens implements serving.Ticket.
func (unlimitedTicket) CountTokens(int) {}

// Release implements serving.Ticket.
func (unlimitedTicket) Release() {}
