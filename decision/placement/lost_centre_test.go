package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostCentre plays the moment after the loss of a data centre: every instance
// in front of it sends its generations again within a few milliseconds, before
// they can tell each other, to the servers that are left. It returns the prompt
// tokens that wait at each server.
func lostCentre(divided bool) map[string]int {
	const (
		instances  = 16
		servers    = 37
		perIngress = 4
	)
	policy, waiting := DefaultPolicy(), make(map[string]int)
	for rank := range instances {
		ledger := NewLedger(policy, here, rand.New(rand.NewPCG(uint64(rank), 7)))
		for lost := range policy.CentreFailures {
			ledger.Unreachable(begin, "lost-"+strconv.Itoa(lost), here.DataCentre, true)
		}
		for range perIngress {
			var candidates []Candidate
			for n := range servers {
				candidates = append(candidates, engine("near-"+strconv.Itoa(n), near), engine("far-"+strconv.Itoa(n), far))
			}
			if divided {
				Partition{Rank: rank, Instances: instances}.MarkOutside(candidates)
			}
			choice, _ := ledger.ChooseGeneration(begin, usual, candidates)
			ledger.Add(choice.ID, Load{Requests: 1, PrefillTokens: usual.PromptTokens, MemoryTokens: usual.MemoryTokens})
			waiting[choice.ID] += usual.PromptTokens
		}
	}
	return waiting
}

// TestFirstEventsAfterALostDataCentre checks what callers get: the first event
// of a generation that was sent again has to come within what is left of 4.5 s.
func TestFirstEventsAfterALostDataCentre(t *testing.T) {
	is := is.New(t)
	policy := DefaultPolicy()
	late := func(waiting map[string]int) (late int) {
		for _, tokens := range waiting {
			queue := time.Duration(float64(tokens)/policy.PrefillPerMillisecond) * time.Millisecond
			if queue > 3*time.Second {
				late += tokens / usual.PromptTokens
			}
		}
		return late
	}
	together, apart := late(lostCentre(false)), late(lostCentre(true))
	t.Logf("late first events: %d of 64 when all choose alike, %d when the servers are divided", together, apart)
	is.True(apart < together)
	is.Equal(apart, 0)
}
