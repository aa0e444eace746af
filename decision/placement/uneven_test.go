package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
)

// unevenServer is a server in virtual time: it reads prompts one after the other and its speed changes with time.
type unevenServer struct {
	own     float64
	readyAt time.Time
	// slowIn holds the intervals of 600 ms in which it is 2.5 times slower.
	slowIn map[int64]bool
}

func (s *unevenServer) factor(at time.Time) float64 {
	if s.slowIn[at.UnixMilli()/600] {
		return 2.5 * s.own
	}
	return s.own
}

// firstEventAt returns when a prompt that comes at a time is read.
func (s *unevenServer) firstEventAt(at time.Time, tokens int) time.Time {
	if s.readyAt.Before(at) {
		s.readyAt = at
	}
	for left := float64(tokens); left > 0; left -= 80 / s.factor(s.readyAt) {
		s.readyAt = s.readyAt.Add(10 * time.Millisecond)
	}
	return s.readyAt
}

// meanFirstEvent plays requests at 20 servers, of which a quarter takes 0.55 and the others 1.2 times as long as usual, and
// returns the mean time to the first event. With informed, the ledger gets what the servers state in answers.
func meanFirstEvent(informed bool) time.Duration {
	random := rand.New(rand.NewPCG(7, 7))
	ledger, picture := placement.NewLedger(placement.DefaultPolicy(), placement.Place{DataCentre: "d", Region: "r"}, random), load.NewPicture()
	servers := make([]*unevenServer, 20)
	for i := range servers {
		servers[i] = &unevenServer{own: 1.2, slowIn: make(map[int64]bool)}
		if i%4 == 0 {
			servers[i].own = 0.55
		}
		for tick := int64(0); tick < 200; tick++ {
			servers[i].slowIn[tick] = random.Float64() < 0.15
		}
	}
	type running struct {
		server int
		at     time.Time
	}
	var waiting []running
	sum, requests := time.Duration(0), 400
	now := time.UnixMilli(0)
	for n := range requests {
		now = now.Add(200 * time.Millisecond)
		for i := 0; i < len(waiting); i++ {
			if done := waiting[i]; !done.at.After(now) {
				id := fmt.Sprint(done.server)
				ledger.Add(id, placement.Load{Requests: -1, PrefillTokens: -8200})
				percent := int(100 * servers[done.server].factor(done.at))
				if informed {
					_ = picture.Stated(done.at, id, "s", load.Statement{WorkPercent: percent}, load.Known{})
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
			}
		}
		candidates := make([]placement.Candidate, len(servers))
		for i := range candidates {
			id := fmt.Sprint(i)
			candidates[i] = placement.Candidate{ID: id, Place: placement.Place{DataCentre: "d", Region: "r"}, Slots: 64,
				ReadWork: picture.Work(now, id, 500*time.Millisecond), ProduceWork: picture.Work(now, id, 4*time.Second)}
		}
		choice, _ := ledger.ChooseGeneration(now, placement.Generation{PromptTokens: 8200, ProduceTime: 3800 * time.Millisecond}, candidates)
		var server int
		_, _ = fmt.Sscan(choice.ID, &server)
		ledger.Add(choice.ID, placement.Load{Requests: 1, PrefillTokens: 8200})
		at := servers[server].firstEventAt(now, 8200)
		waiting = append(waiting, running{server, at})
		if n >= 50 {
			sum += at.Sub(now)
		}
	}
	return sum / time.Duration(requests-50)
}

// With uneven servers callers get the first event clearly sooner when placement knows the speeds.
func TestUnevenServersAreUsedByTheirSpeed(t *testing.T) {
	blind, informed := meanFirstEvent(false), meanFirstEvent(true)
	if informed > blind*3/4 {
		t.Fatalf("first event after %v with the speeds, %v without", informed, blind)
	}
}

// No server that would miss the pause or the deadline is chosen while another one can meet them.
func TestServersThatMissThePauseOrTheDeadlineComeLast(t *testing.T) {
	is := is.New(t)
	ledger := placement.NewLedger(placement.DefaultPolicy(), placement.Place{DataCentre: "d", Region: "r"}, rand.New(rand.NewPCG(1, 1)))
	far := placement.Candidate{ID: "far", Place: placement.Place{DataCentre: "e", Region: "q"}, Slots: 8}
	near := placement.Candidate{ID: "near", Place: placement.Place{DataCentre: "d", Region: "r"}, Slots: 8}
	generation := placement.Generation{PromptTokens: 800, ProduceTime: 3 * time.Second, Remaining: 5 * time.Second, MaxPause: 700 * time.Millisecond}
	choose := func(near placement.Candidate) string {
		choice, _ := ledger.ChooseGeneration(time.Unix(1, 0), generation, []placement.Candidate{near, far})
		return choice.ID
	}
	is.Equal(choose(near), "near")
	pausing, slow := near, near
	pausing.Pause = 900 * time.Millisecond
	slow.ProduceWork = 2
	is.Equal(choose(pausing), "far")
	is.Equal(choose(slow), "far")
	choice, found := ledger.ChooseGeneration(time.Unix(1, 0), generation, []placement.Candidate{pausing})
	is.True(found)
	is.Equal(choice.ID, "near")
}

// What only the server knows of counts for its room.
func TestRoomCountsWhatTheServerStates(t *testing.T) {
	is := is.New(t)
	ledger := placement.NewLedger(placement.DefaultPolicy(), placement.Place{}, rand.New(rand.NewPCG(1, 1)))
	candidate := placement.Candidate{ID: "a", Slots: 2, MemoryTokens: 1000}
	hasRoom := func(c placement.Candidate) bool {
		choice, _ := ledger.ChooseGeneration(time.Unix(1, 0), placement.Generation{PromptTokens: 100, MemoryTokens: 300}, []placement.Candidate{c})
		return choice.HasRoom
	}
	is.True(hasRoom(candidate))
	full, crowded, queued := candidate, candidate, candidate
	full.Unknown.MemoryTokens, crowded.Unknown.Requests, queued.Waiting = 800, 2, 1
	is.True(!hasRoom(full))
	is.True(!hasRoom(crowded))
	is.True(!hasRoom(queued))
}

// A call goes to the faster of two servers by their own word.
func TestCallsGoToTheFasterServer(t *testing.T) {
	is := is.New(t)
	ledger := placement.NewLedger(placement.DefaultPolicy(), placement.Place{}, rand.New(rand.NewPCG(1, 1)))
	id, _ := ledger.ChooseCall(time.Unix(1, 0), []placement.Candidate{{ID: "slow", Slots: 6, ReadWork: 2.5}, {ID: "fast", Slots: 6, ReadWork: 1}})
	is.Equal(id, "fast")
}

// Most prompts are preferred at fast servers, and at even ones nothing changes. All instances prefer the same server.
func TestFastServersArePreferredForMorePrompts(t *testing.T) {
	is := is.New(t)
	here := placement.NewLedger(placement.DefaultPolicy(), placement.Place{DataCentre: "d"}, rand.New(rand.NewPCG(1, 1)))
	there := placement.NewLedger(placement.DefaultPolicy(), placement.Place{DataCentre: "d"}, rand.New(rand.NewPCG(2, 2)))
	preferred := func(ledger *placement.Ledger, key string, work func(server int) float64) string {
		var candidates []placement.Candidate
		for server := range 8 {
			candidates = append(candidates, placement.Candidate{ID: fmt.Sprint(server), Place: placement.Place{DataCentre: "d"}, ProduceWork: work(server)})
		}
		choice, _ := ledger.ChooseGeneration(time.Unix(1, 0), placement.Generation{PromptTokens: 1000, PromptKey: key}, candidates)
		return choice.AffinityServer
	}
	uneven := func(server int) float64 {
		if server < 2 {
			return 0.55
		}
		return 1.2
	}
	fast, same := 0, 0
	for n := range 1000 {
		key := fmt.Sprint("prompt", n)
		server := preferred(here, key, uneven)
		if server == "0" || server == "1" {
			fast++
		}
		if preferred(there, key, func(server int) float64 { return uneven(server) * (1 + 0.05*float64(server%3)) }) == server {
			same++
		}
		is.Equal(preferred(here, key, func(int) float64 { return 0 }), preferred(there, key, func(int) float64 { return 1 }))
	}
	is.True(fast > 650 && fast < 900)
	is.True(same > 900)
}
