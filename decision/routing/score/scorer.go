package score

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Candidate is one server with its cost.
type Candidate struct {
	Server int
	Cost   float64
	// Nominated means that a scorer wants the server looked at by name.
	Nominated bool
}

// Scorer adds costs to candidates.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	Score(view *snapshot.View, candidates []Candidate)
}
