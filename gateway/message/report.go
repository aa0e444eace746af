package message

// Report is what a model engine says about its work, as of some hundred
// milliseconds ago.
type Report struct {
	// Runs holds the events made so far by each running request, by its id. A
	// request runs from its first token on.
	EventsByRequest map[string]int
}
