package placement

// Load is what an instance has at one server.
type Load struct {
	// Requests were sent and have not ended.
	Requests int
	// Waiting are the prompt tokens of generations without a first event.
	Waiting int
	// Memory are the tokens that its generations and copies hold or will hold.
	Memory int
}

func (l Load) plus(other Load) Load {
	return Load{
		Requests: l.Requests + other.Requests,
		Waiting:  l.Waiting + other.Waiting,
		Memory:   l.Memory + other.Memory,
	}
}

// atLeastNone returns the load without negative parts.
func (l Load) atLeastNone() Load {
	return Load{Requests: max(0, l.Requests), Waiting: max(0, l.Waiting), Memory: max(0, l.Memory)}
}

// Negative returns the change that takes a load away.
func (l Load) Negative() Load {
	return Load{Requests: -l.Requests, Waiting: -l.Waiting, Memory: -l.Memory}
}
