package score

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Load costs the expected requests at a server as a fraction of its
// capacity.
type Load struct{}

// Name implements Scorer.
func (Load) Name() string { return "load" }

// Score implements Scorer.
func (Load) Score(view *snapshot.View, candidates []Candidate) {
	for i := range candidates {
		candidates[i].Cost += view.States.State(candidates[i].Server).ExpectedLoad()
	}
}
