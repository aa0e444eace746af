package score_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/score"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// nominee returns the server that prefix affinity nominates.
func nominee(prompt string, states snapshot.States) int {
	configuration := &estate.Configuration{}
	for i := range states {
		configuration.BackendServers = append(configuration.BackendServers, estate.BackendServer{Name: fmt.Sprint("s", i)})
	}
	s := snapshot.Build(configuration, snapshot.Options{})
	candidates := make([]score.Candidate, len(states))
	for i := range candidates {
		candidates[i].Server = i
	}
	score.NewPrefix().Score(snapshot.NewView(s, serving.RouteRequest{Prompt: prompt}, states), candidates)
	for _, candidate := range candidates {
		if candidate.Nominated {
			return candidate.Server
		}
	}
	return -1
}

func idle(count int) snapshot.States {
	states := make(snapshot.States, count)
	for i := range states {
		states[i].Capacity = 4
	}
	return states
}

func TestPrefixOwnerIsStableAndSpread(t *testing.T) {
	is := is.New(t)
	owners := make(map[int]int)
	for i := range 400 {
		prompt := fmt.Sprint("document ", i, strings.Repeat(" word", 1000))
		owner := nominee(prompt, idle(8))
		is.Equal(owner, nominee(prompt, idle(8)))
		owners[owner]++
	}
	is.Equal(len(owners), 8)
	for _, count := range owners {
		is.True(count > 25 && count < 100)
	}
}

func TestLoadedOwnerPassesThePrefixOn(t *testing.T) {
	is := is.New(t)
	states := idle(8)
	prompt := strings.Repeat("document", 1000)
	owner := nominee(prompt, states)
	states[owner].Requests = 4
	is.True(nominee(prompt, states) != owner)
}

func TestShortPromptNominatesNone(t *testing.T) {
	is := is.New(t)
	is.Equal(nominee("a question", idle(8)), -1)
	is.Equal(nominee("", idle(8)), -1)
}

func TestLoadCostsTheFractionOfCapacity(t *testing.T) {
	is := is.New(t)
	states := snapshot.States{{ExpectedRequests: 2, Capacity: 4}, {ExpectedRequests: 2, Capacity: 2}}
	candidates := []score.Candidate{{Server: 0}, {Server: 1}}
	score.Load{}.Score(&snapshot.View{States: states}, candidates)
	is.Equal(candidates[0].Cost, 0.5)
	is.Equal(candidates[1].Cost, 1.0)
}
