package placement

// Load is what an instance has at one server.
type Load struct {
	// Requests were sent and have not ended.
	Requests int
	// Waiting are the prompt tokens of generations without a first event.
	PrefillTokens int
	// Memory are the tokens that its generations and copies hold or will hold.
	MemoryTokens int
}

func (l Load) plus(other Load) Load {
	return Load{
		Requests:      l.Requests + other.Requests,
		PrefillTokens: l.PrefillTokens + other.PrefillTokens,
		MemoryTokens:  l.MemoryTokens + other.MemoryTokens,
	}
}

// atLeastNone returns the load without negative parts.
func (l Load) atLeastNone() Load {
	return Load{Requests: max(0, l.Requests), PrefillTokens: max(0, l.PrefillTokens), MemoryTokens: max(0, l.MemoryTokens)}
}

// Negative returns the change that takes a load away.
func (l Load) Negative() Load {
	return Load{Requests: -l.Requests, PrefillTokens: -l.PrefillTokens, MemoryTokens: -l.MemoryTokens}
}
