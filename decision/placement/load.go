package placement

// Load is the load of one or more instances at one server.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int
	// PrefillTokens is the number of prompt tokens of generations that have not sent
	// their first event.
	PrefillTokens int
	// MemoryTokens is the number of tokens that generations and KV cache copies hold at
	// their end.
	MemoryTokens int
}

func (l Load) plus(other Load) Load {
	return Load{
		Requests:      l.Requests + other.Requests,
		PrefillTokens: l.PrefillTokens + other.PrefillTokens,
		MemoryTokens:  l.MemoryTokens + other.MemoryTokens,
	}
}

// nonNegative returns the load with negative fields set to zero.
func (l Load) nonNegative() Load {
	return Load{Requests: max(0, l.Requests), PrefillTokens: max(0, l.PrefillTokens), MemoryTokens: max(0, l.MemoryTokens)}
}

// Negative returns the change that removes a load.
func (l Load) Negative() Load {
	return Load{Requests: -l.Requests, PrefillTokens: -l.PrefillTokens, MemoryTokens: -l.MemoryTokens}
}
