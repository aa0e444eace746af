package placement

// Place is a data centre and its region.
type Place struct {
	DataCentre string
	Region     string
}

// Candidate is a server that may be chosen.
type Candidate struct {
	ID    string
	Place Place
	// Slots is the maximum number of requests that run at once.
	Slots int
	// MemoryTokens is the engine's memory; 0 for servers that are not engines.
	MemoryTokens int
	// OutsidePartition means that the server is in the partition of another instance.
	OutsidePartition bool
}

// Generation is the size of a generation in tokens.
type Generation struct {
	// PromptTokens is the number of tokens to read before the first event.
	PromptTokens int
	// MemoryTokens is the number of tokens that it holds at its end.
	MemoryTokens int
	// PromptKey identifies its prompt; empty when unknown.
	PromptKey string
	// CachedAt is the server that keeps CachedTokens of the prompt and need not read them
	// again; empty when unknown.
	CachedAt     string
	CachedTokens int
}

// unreadTokens returns the number of prompt tokens that a server has to read.
func (g *Generation) unreadTokens(server string) int {
	if server == g.CachedAt {
		return max(0, g.PromptTokens-g.CachedTokens)
	}
	return g.PromptTokens
}
