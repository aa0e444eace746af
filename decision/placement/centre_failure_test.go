package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitingAfterFailure simulates the moment after the failure of a data centre: every
// instance with generations there sends them to the remaining servers within a few
// milliseconds, before the instances receive each other's updates. It returns the
// prompt tokens that wait at each server.
func waitingAfterFailure(divided bool) map[string]int {
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

// TestFirstEventsAfterDataCentreFailure guards against late first events when all
// instances choose the same idle servers after the failure of a data centre: the
// first event of a generation that was sent again must arrive within the remaining
// time of 4.5 s.
func TestFirstEventsAfterDataCentreFailure(t *testing.T) {
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
	alike, divided := late(waitingAfterFailure(false)), late(waitingAfterFailure(true))
	t.Logf("late first events: %d of 64 when all instances choose alike, %d when the servers are divided among them", alike, divided)
	is.True(divided < alike)
	is.Equal(divided, 0)
}
