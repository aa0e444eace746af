package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCachedPromptDecidesUnlessItsServerIsBusy sends a resumed stream to the server that keeps its prompt
// while that is sooner than reading the prompt elsewhere.
func TestCachedPromptDecidesUnlessItsServerIsBusy(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger(DefaultPolicy(), Place{DataCentre: "a", Region: "r"}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_700_000_000, 0)
	candidates := []Candidate{
		{ID: "near", Place: Place{DataCentre: "a", Region: "r"}, Slots: 24, MemoryTokens: 88_000},
		{ID: "far", Place: Place{DataCentre: "b", Region: "other"}, Slots: 24, MemoryTokens: 88_000, OutsidePartition: true},
	}
	generation := Generation{PromptTokens: 8000, MemoryTokens: 8600, PromptKey: "p", CachedAt: "far", CachedTokens: 7800}
	choice, found := ledger.ChooseGeneration(now, generation, candidates)
	is.True(found)
	is.Equal(choice.ID, "far")
	is.True(choice.Wait < 50*time.Millisecond)
	ledger.Add("far", Load{Requests: 2, PrefillTokens: 16_000, MemoryTokens: 17_000})
	choice, found = ledger.ChooseGeneration(now, generation, candidates)
	is.True(found)
	is.Equal(choice.ID, "near") // two prompts are read there first
}
