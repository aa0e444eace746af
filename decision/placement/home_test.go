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

// homeLoad is the outcome of playing a data centre's load.
type homeLoad struct {
	// again counts the callers whose answer was under way when every instance
	// restarted, hits those that were sent where their prompt is cached.
	again, hits int
	// late counts the first events after their target latency.
	late int
}

// playHomeLoad plays the usual load of a data centre of the users: three
// instances in front of eight engines, two generations a second that are read
// for a second and run for four. After half a minute every instance restarts
// and knows nothing; the callers whose answers were under way come again at
// another instance.
func playHomeLoad(policy Policy, seed uint64) homeLoad {
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
		key, server string
		read, ends  time.Time
		waits       bool
	}
	var active []*running
	free := make(map[string]time.Time) // when a server has read all prompts before
	result := homeLoad{}
	change := func(server string, load Load) {
		for _, ledger := range ledgers { // the instances tell each other at once
			ledger.Add(server, load)
		}
	}
	settle := func(now time.Time) {
		for _, run := range active {
			if run.waits && !run.read.After(now) {
				run.waits = false
				change(run.server, Load{PrefillTokens: -usual.PromptTokens})
			}
		}
		active = slices.DeleteFunc(active, func(run *running) bool {
			if run.ends.After(now) {
				return false
			}
			change(run.server, Load{Requests: -1, MemoryTokens: -usual.MemoryTokens})
			return true
		})
	}
	send := func(now time.Time, at int, key string) *running {
		size := usual
		size.PromptKey = key
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		read := free[choice.ID]
		if read.Before(now) {
			read = now
		}
		read = read.Add(time.Duration(float64(usual.PromptTokens)/policy.PrefillPerMillisecond) * time.Millisecond)
		free[choice.ID] = read
		if read.Sub(now) > target {
			result.late++
		}
		run := &running{key: key, server: choice.ID, read: read, ends: read.Add(generation), waits: true}
		change(choice.ID, Load{Requests: 1, PrefillTokens: usual.PromptTokens, MemoryTokens: usual.MemoryTokens})
		active = append(active, run)
		return run
	}
	now := begin
	for n := range 60 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(500*time.Millisecond)))
		settle(now)
		send(now, random.IntN(instances), "prompt-"+strconv.Itoa(n))
	}
	settle(now)
	interrupted := slices.SortedFunc(slices.Values(active), func(a, b *running) int { return cmp.Compare(a.key, b.key) })
	active = nil
	restart()
	for _, run := range interrupted {
		result.again++
		size := usual
		size.PromptKey = run.key
		at := random.IntN(instances)
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		if choice.ID == run.server {
			result.hits++
			continue
		}
		change(choice.ID, Load{Requests: 1, PrefillTokens: usual.PromptTokens, MemoryTokens: usual.MemoryTokens})
	}
	return result
}

// TestCallersThatComeAgainFindTheirPrompt checks what callers get when every
// instance restarted: most are sent where their prompt is cached, and before
// that nobody got its first event late for it.
func TestCallersThatComeAgainFindTheirPrompt(t *testing.T) {
	is := is.New(t)
	alone := DefaultPolicy()
	alone.AffinityDiscount = 0
	var with, without homeLoad
	for seed := range uint64(20) {
		for sum, policy := range map[*homeLoad]Policy{&with: DefaultPolicy(), &without: alone} {
			played := playHomeLoad(policy, seed)
			sum.again, sum.hits, sum.late = sum.again+played.again, sum.hits+played.hits, sum.late+played.late
		}
	}
	t.Logf("%d of %d callers find their prompt, %d of %d without a preferred server", with.hits, with.again, without.hits, without.again)
	is.True(2*with.hits > with.again)
	is.True(with.hits > 2*without.hits)
	is.Equal(with.late, 0)
}

// TestHomeIsTheSameForAll draws candidates in any order and with servers that
// are avoided: instances that know the same agree, and a server that is not
// avoided and near is preferred.
func TestHomeIsTheSameForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var candidates []Candidate
		for n := range rapid.IntRange(1, 12).Draw(t, "servers") {
			candidates = append(candidates, engine("server-"+strconv.Itoa(n), rapid.SampledFrom([]Place{here, near, far}).Draw(t, "place")))
		}
		one, other := newLedger(), newLedger()
		for i := range candidates {
			if rapid.Bool().Draw(t, "avoided") {
				for _, l := range []*Ledger{one, other} {
					l.policy.CentreFailures = len(candidates) + 1
					l.Unreachable(begin, candidates[i].ID, candidates[i].Place.DataCentre, false)
				}
			}
		}
		key := rapid.String().Draw(t, "key")
		home := one.home(begin, key, candidates)
		shuffled := rapid.Permutation(candidates).Draw(t, "order")
		is.Equal(other.home(begin, key, shuffled), home)
		free := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return one.Avoided(begin, c.ID, c.Place.DataCentre) })
		at := func(c Candidate) bool { return c.ID == home }
		isNear := func(c Candidate) bool { return c.Place == here }
		switch {
		case key == "" || len(free) == 0:
			is.Equal(home, "")
		case slices.ContainsFunc(free, isNear):
			is.True(isNear(free[slices.IndexFunc(free, at)]))
		default:
			is.True(slices.ContainsFunc(free, at))
		}
	})
}
