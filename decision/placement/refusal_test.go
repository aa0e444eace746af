package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRefusingServerIsNeverChosen lets servers state at random for how long they want no request, fail
// and answer in between: none of them is chosen, for a call, a generation or a copy, before its
// last statement is over.
func TestRefusingServerIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewLedger(DefaultPolicy(), Place{DataCentre: "a", Region: "r"}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_700_000_000, 0)
		until := make(map[string]time.Time)
		var candidates []Candidate
		for n := range rapid.IntRange(1, 5).Draw(t, "servers") {
			candidates = append(candidates, Candidate{
				ID: strconv.Itoa(n), Place: Place{DataCentre: []string{"a", "b"}[n%2], Region: "r"}, Slots: 4, MemoryTokens: 100_000,
			})
		}
		check := func(id string, found bool) {
			if found && now.Before(until[id]) {
				t.Fatalf("%s is chosen %v too early", id, until[id].Sub(now))
			}
			free := false
			for i := range candidates {
				free = free || !now.Before(until[candidates[i].ID])
			}
			if free && !found {
				t.Fatal("nothing is chosen although a server takes requests")
			}
		}
		generation := Generation{PromptTokens: 100, MemoryTokens: 200, PromptKey: "p"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			id := candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "server")].ID
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				end := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "retry after")) * time.Millisecond)
				ledger.Refuses(end, id)
				if end.After(until[id]) {
					until[id] = end
				}
			case 1:
				ledger.Unreachable(now, id, "a", false)
			case 2:
				ledger.Received(now, id)
			case 3:
				ledger.UnreachableAtPeer(now, id, "a", true)
			case 4:
				check(ledger.ChooseCall(now, candidates))
			case 5:
				choice, found := ledger.ChooseGeneration(now, generation, candidates)
				check(choice.ID, found)
			case 6:
				copyAt, found := ledger.ChooseCopy(now, generation, candidates[0], candidates)
				if found && now.Before(until[copyAt]) {
					t.Fatalf("%s gets a copy %v too early", copyAt, until[copyAt].Sub(now))
				}
			}
		}
	})
}
