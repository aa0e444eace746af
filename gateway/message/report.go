package message

// Report is the load report of a model engine. It is some hundred milliseconds
// old.
type Report struct {
	// EventsByRequest holds the number of events produced so far by each running
	// request, by request id. A request runs from its first token on.
	EventsByRequest map[string]int
	// Running and Queued are the numbers of requests that run and that wait.
	Running int
	Queued  int
	// MemoryUsed is the memory in tokens that requests and copies hold and that can't be freed, MemoryTotal all of it; 0
	// when unknown.
	MemoryUsed  int
	MemoryTotal int
	// NextTokens is the size in tokens of the first waiting request; 0 for none.
	NextTokens int
}
