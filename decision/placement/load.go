package placement

// Load is the load of one or more instances at one server.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int
	// PrefillTokens is the number of prompt tokens of generations that have not sent
	// their first event.
	Waiting int
	// MemoryTokens is the number of tokens that generations and KV cache copies hold at
	// their end.
	Memory int
}

func (l Load) plus(other Load) Load {
	return Load{
		Requests: l.Requests + other.Requests,
		Waiting:  l.Waiting + other.Waiting,
		Memory:   l.Memory + other.Memory,
	}
}

// nonNegative returns the load with negative fields set to zero.
func (l Load) nonNegative() Load {
	return Load{Requests: max(0, l.Requests), Waiting: max(0, l.Waiting), Memory: max(0, l.Memory)}
}

// Negative returns the change that removes a load.
func (l Load) Negative() Load {
	return Load{Requests: -l.Requests, Waiting: -l.Waiting, Memory: -l.Memory}
}
