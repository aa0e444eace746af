package message

// Report is the load report of a model engine. It is some hundred milliseconds
// old.
type Report struct {
	// EventsByRequest holds the number of events produced so far by each running
	// request, by request id. A request runs from its first token on.
	EventsByRequest map[string]int
}
