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

// homeLoad is the result of simulating the load of a data centre.
type homeLoad struct {
	// again is the number of callers whose answer was incomplete when every
	// instance restarted, hits the number of those whose retry was sent to the
	// server that has their prompt cached.
	again, hits int
	// late is the number of first events after the target latency.
	late int
}

// playHomeLoad simulates the usual load of a data centre of the users: three
// instances in front of eight engines, and two generations a second, each with a
// prefill of one second and a run time of four. After half a minute every instance
// restarts without records, and the callers whose answers were incomplete retry at
// any instance.
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
	free := make(map[string]time.Time) // when a server has finished all earlier prefills
	result := homeLoad{}
	change := func(server string, load Load) {
		for _, ledger := range ledgers { // the instances receive each other's updates at once
			ledger.Add(server, load)
		}
	}
	settle := func(now time.Time) {
		for _, run := range active {
			if run.waits && !run.read.After(now) {
				run.waits = false
				change(run.server, Load{Waiting: -usual.Prompt})
			}
		}
		active = slices.DeleteFunc(active, func(run *running) bool {
			if run.ends.After(now) {
				return false
			}
			change(run.server, Load{Requests: -1, Memory: -usual.Memory})
			return true
		})
	}
	send := func(now time.Time, at int, key string) *running {
		size := usual
		size.Key = key
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		read := free[choice.ID]
		if read.Before(now) {
			read = now
		}
		read = read.Add(time.Duration(float64(usual.Prompt)/policy.PrefillPerMillisecond) * time.Millisecond)
		free[choice.ID] = read
		if read.Sub(now) > target {
			result.late++
		}
		run := &running{key: key, server: choice.ID, read: read, ends: read.Add(generation), waits: true}
		change(choice.ID, Load{Requests: 1, Waiting: usual.Prompt, Memory: usual.Memory})
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
		size.Key = run.key
		at := random.IntN(instances)
		choice, _ := ledgers[at].ChooseGeneration(now, size, candidates)
		if choice.ID == run.server {
			result.hits++
			continue
		}
		change(choice.ID, Load{Requests: 1, Waiting: usual.Prompt, Memory: usual.Memory})
	}
	return result
}

// TestCallersThatComeAgainFindTheirPrompt guards against retries that read their
// prompt again after every instance restarted: most must reach the server that has
// the prompt cached, and the preference for that server must not have delayed a
// first event beyond its target before the restart.
func TestCallersThatComeAgainFindTheirPrompt(t *testing.T) {
	is := is.New(t)
	alone := DefaultPolicy()
	alone.HomeGain = 0
	var with, without homeLoad
	for seed := range uint64(20) {
		for sum, policy := range map[*homeLoad]Policy{&with: DefaultPolicy(), &without: alone} {
			played := playHomeLoad(policy, seed)
			sum.again, sum.hits, sum.late = sum.again+played.again, sum.hits+played.hits, sum.late+played.late
		}
	}
	t.Logf("%d of %d retries reach the server with their prompt, %d of %d without a preferred server", with.hits, with.again, without.hits, without.again)
	is.True(2*with.hits > with.again)
	is.True(with.hits > 2*without.hits)
	is.Equal(with.late, 0)
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
