package routing

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/filter"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/pick"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Pipeline is a routing policy. Its stages run in the order of the fields.
type Pipeline struct {
	Filters     []filter.Filter
	Preferences []filter.Preference
	Scorers     []score.Scorer
	Picker      pick.Picker
}

// Default returns the routing policy of entry instances.
func Default() *Pipeline {
	return &Pipeline{
		Filters:     filter.All(),
		Preferences: filter.Preferences(),
		Scorers:     []score.Scorer{score.Load{}, score.NewPrefix()},
		Picker:      pick.TwoChoices{},
	}
}

// Route picks a server for the view's request. Errors are *fault.Error:
// UnknownService, NoRule with the rule that matches best, or NoBackendServer
// with the number of servers that each filter removed.
func (p *Pipeline) Route(view *snapshot.View, random *rand.Rand) (Choice, error) {
	if !view.HasService(view.Request.Service) {
		return Choice{}, fault.New(fault.UnknownService, "service "+view.Request.Service+" is not configured").
			WithExecution(execution(view.Request.Purpose))
	}
	declared := view.Candidates(view.Request.Service, view.Request.Model, view.Version)
	if view.Request.RequiredServer != "" {
		return requiredServer(view, declared)
	}
	kept, removed := p.filter(view, declared)
	if len(kept) == 0 {
		return Choice{}, refusal(view, len(declared), removed)
	}
	kept = p.prefer(view, kept)
	candidates := make([]score.Candidate, len(kept))
	for i, server := range kept {
		candidates[i].Server = server
	}
	for _, scorer := range p.Scorers {
		scorer.Score(view, candidates)
	}
	chosen := candidates[p.Picker.Pick(candidates, random)]
	return Choice{Server: chosen.Server, Reason: p.reason(view, chosen, len(candidates), len(declared))}, nil
}

// removal counts the servers that one filter removed.
type removal struct {
	name  string
	count int
}

// filter returns the servers that all filters keep. A removed server counts for
// the first filter that removes it.
func (p *Pipeline) filter(view *snapshot.View, declared []int) ([]int, []removal) {
	kept := make([]int, 0, len(declared))
	removed := make([]removal, len(p.Filters))
	for i, stage := range p.Filters {
		removed[i].name = stage.Name()
	}
next:
	for _, server := range declared {
		for i, stage := range p.Filters {
			if !stage.Keep(view, server) {
				removed[i].count++
				continue next
			}
		}
		kept = append(kept, server)
	}
	return kept, removed
}

func (p *Pipeline) prefer(view *snapshot.View, kept []int) []int {
	for _, stage := range p.Preferences {
		if preferred := stage.Prefer(view, kept); len(preferred) > 0 {
			kept = preferred
		}
	}
	return kept
}

// reason explains a choice in one line of text.
func (p *Pipeline) reason(view *snapshot.View, chosen score.Candidate, candidates, declared int) string {
	var text strings.Builder
	text.WriteString(string(view.Request.Purpose))
	text.WriteString(": ")
	text.WriteString(p.Picker.Name())
	if chosen.Nominated {
		text.WriteString(", nominated by affinity")
	}
	if view.Shifted {
		text.WriteString(", shifted to ")
		text.WriteString(view.PreferredPlace.Region)
	}
	text.WriteString(", load ")
	text.WriteString(strconv.FormatFloat(view.States.State(chosen.Server).Load(), 'f', 2, 64))
	text.WriteString(", ")
	text.WriteString(strconv.Itoa(candidates))
	text.WriteString(" of ")
	text.WriteString(strconv.Itoa(declared))
	text.WriteString(" servers considered")
	return text.String()
}
