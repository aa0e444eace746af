package score

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Candidate is a server with its cost so far.
type Candidate struct {
	Server int
	Cost   float64
	// Nominated means that a picker that samples must include the server.
	Nominated bool
}

// Scorer adds its costs to candidates and may nominate them.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	Score(view *snapshot.View, candidates []Candidate)
}
