package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// restartResult is the result of simulating the load of a data centre.
type restartResult struct {
	// retries is the number of callers whose answer was incomplete when every
	// instance restarted, hits the number of those whose retry was sent to the
	// server that has their prompt cached.
	retries, hits int
	// lateEvents is the number of first events after the target latency.
	lateEvents int
}

// simulateRestart simulates the usual load of a data centre of the users: three
// instances in front of eight engines, and two generations a second, each with a
// prefill of one second and a run time of four. After half a minute every instance
// restarts without records, and callers with incomplete answers retry at any.
func simulateRestart(policy Policy, seed uint64) restartResult {
	const (
		instances  = 3
		servers    = 8
		target     = 4500 * time.Millisecond
		generation = 4 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	var candidates []Candidate
	for n := range servers {
		candidates = append(candidates, engine("server-"+strconv.Itoa(n), here))
	}
	ledgers := make([]*Ledger, instances)
	restart := func() {
		for n := range ledgers {
			ledgers[n] = NewLedger(policy, here, rand.New(rand.NewPCG(seed, uint64(n+2))))
		}
	}
	restart()
	type running struct {
		key, server     string
		prefilled, ends time.Time
		prefilling      bool
	}
	var active []*running
	idleFrom := make(map[string]time.Time) // when a server has finished all earlier prefills
	result := restartResult{}
	addLoad := func(server string, load Load) {
		for _, ledger := range ledgers { // the instances receive each other's updates at once
			ledger.Add(server, load)
		}
	}
	endPhases := func(now time.Time) {
		for _, run := range active {
			if run.prefilling && !run.prefilled.After(now) {
				run.prefilling = false
				addLoad(run.server, Load{PrefillTokens: -usual.PromptTokens})
			}
		}
		active = slices.DeleteFunc(active, func(run *running) bool {
			if run.ends.After(now) {
				return false
			}
			addLoad(run.server, Load{Requests: -1, MemoryTokens: -usual.MemoryTokens})
			return true
		})
	}
	send := func(now time.Time, at int, key string) *running {
		size := usual
		size.PromptKey = key
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		prefilled := idleFrom[choice.ID]
		if prefilled.Before(now) {
			prefilled = now
		}
		prefilled = prefilled.Add(time.Duration(float64(usual.PromptTokens)/policy.PrefillPerMillisecond) * time.Millisecond)
		idleFrom[choice.ID] = prefilled
		if prefilled.Sub(now) > target {
			result.lateEvents++
		}
		run := &running{key: key, server: choice.ID, prefilled: prefilled, ends: prefilled.Add(generation), prefilling: true}
		addLoad(choice.ID, Load{Requests: 1, PrefillTokens: usual.PromptTokens, MemoryTokens: usual.MemoryTokens})
		active = append(active, run)
		return run
	}
	now := begin
	for n := range 60 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(500*time.Millisecond)))
		endPhases(now)
		send(now, random.IntN(instances), "prompt-"+strconv.Itoa(n))
	}
	endPhases(now)
	interrupted := slices.SortedFunc(slices.Values(active), func(a, b *running) int { return cmp.Compare(a.key, b.key) })
	active = nil
	restart()
	for _, run := range interrupted {
		result.retries++
		size := usual
		size.PromptKey = run.key
		at := random.IntN(instances)
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		if choice.ID == run.server {
			result.hits++
			continue
		}
		addLoad(choice.ID, Load{Requests: 1, PrefillTokens: usual.PromptTokens, MemoryTokens: usual.MemoryTokens})
	}
	return result
}

// TestCallersThatComeAgainFindTheirPrompt guards against retries that read their
// prompt again after every instance restarted: most must reach the server that has
// the prompt cached, and the preference for that server must not have delayed a
// first event beyond its target before the restart.
func TestCallersThatComeAgainFindTheirPrompt(t *testing.T) {
	is := is.New(t)
	noAffinity := DefaultPolicy()
	noAffinity.AffinityDiscount = 0
	var with, without restartResult
	for seed := range uint64(20) {
		for sum, policy := range map[*restartResult]Policy{&with: DefaultPolicy(), &without: noAffinity} {
			played := simulateRestart(policy, seed)
			sum.retries, sum.hits, sum.lateEvents = sum.retries+played.retries, sum.hits+played.hits, sum.lateEvents+played.lateEvents
		}
	}
	t.Logf("%d of %d retries reach the server with their prompt, %d of %d without a preferred server", with.hits, with.retries, without.hits, without.retries)
	is.True(2*with.hits > with.retries)
	is.True(with.hits > 2*without.hits)
	is.Equal(with.lateEvents, 0)
}

// TestHomeIsTheSameForAll draws candidates in any order, some of them avoided:
// instances with the same records must prefer the same server for a prompt, and
// one in their own data centre when such a server is not avoided.
func TestHomeIsTheSameForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var candidates []Candidate
		for n := range rapid.IntRange(1, 12).Draw(t, "servers") {
			candidates = append(candidates, engine("server-"+strconv.Itoa(n), rapid.SampledFrom([]Place{here, near, far}).Draw(t, "place")))
		}
		first, second := newLedger(), newLedger()
		for i := range candidates {
			if rapid.Bool().Draw(t, "avoided") {
				for _, l := range []*Ledger{first, second} {
					l.policy.CentreFailures = len(candidates) + 1
					l.Unreachable(begin, candidates[i].ID, candidates[i].Place.DataCentre, false)
				}
			}
		}
		key := rapid.String().Draw(t, "key")
		chosen := first.affinityServer(begin, key, candidates)
		shuffled := rapid.Permutation(candidates).Draw(t, "order")
		is.Equal(second.affinityServer(begin, key, shuffled), chosen)
		usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return first.Avoided(begin, c.ID, c.Place.DataCentre) })
		isChosen := func(c Candidate) bool { return c.ID == chosen }
		isNear := func(c Candidate) bool { return c.Place == here }
		switch {
		case key == "" || len(usable) == 0:
			is.Equal(chosen, "")
		case slices.ContainsFunc(usable, isNear):
			is.True(isNear(usable[slices.IndexFunc(usable, isChosen)]))
		default:
			is.True(slices.ContainsFunc(usable, isChosen))
		}
	})
}
