package score

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Load adds a server's expected requests, as a fraction of its capacity, to its cost.
type Load struct{}

// Name implements Scorer.
func (Load) Name() string { return "load" }

// Score implements Scorer.
func (Load) Score(view *snapshot.View, candidates []Candidate) {
	for i := range candidates {
		candidates[i].Cost += view.States.State(candidates[i].Server).ExpectedLoad()
	}
}
