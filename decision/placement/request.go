package placement

// Place is a position in the estate.
type Place struct {
	DataCentre string
	Region     string
}

// Candidate is a server that may be chosen.
type Candidate struct {
	ID    string
	Place Place
	// Slots bounds the requests that run at once.
	Slots int
	// MemoryTokens is the engine's memory; 0 for servers that are no engines.
	MemoryTokens int
	// Foreign is set for servers that another instance prefers.
	OutsidePartition bool
}

// Generation is the size of a generation in tokens.
type Generation struct {
	// Prompt are the tokens that have to be read before the first event.
	PromptTokens int
	// Memory are the tokens that it holds at its end.
	MemoryTokens int
	// Key names its prompt; empty when unknown.
	PromptKey string
}
