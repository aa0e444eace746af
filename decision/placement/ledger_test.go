package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	begin = time.Unix(1_700_000_000, 0)
	here  = Place{DataCentre: "a-1", Region: "a"}
	near  = Place{DataCentre: "a-2", Region: "a"}
	far   = Place{DataCentre: "b-1", Region: "b"}
)

func newLedger() *Ledger { return NewLedger(DefaultPolicy(), here, rand.New(rand.NewPCG(1, 2))) }

// engine returns a candidate with the memory of the users' engines.
func engine(id string, place Place) Candidate {
	return Candidate{ID: id, Place: place, Slots: 64, MemoryTokens: 88000}
}

var usual = Generation{PromptTokens: 8200, MemoryTokens: 8800}

func TestGenerationIsSentWhereItStartsFirst(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	candidates := []Candidate{engine("here", here), engine("near", near), engine("far", far)}
	choice, found := l.ChooseGeneration(begin, usual, candidates)
	is.True(found)
	is.Equal(choice.ID, "here")
	l.Add("here", Load{Requests: 1, PrefillTokens: 8200, MemoryTokens: 8800})
	choice, _ = l.ChooseGeneration(begin, usual, candidates)
	is.Equal(choice.ID, "near") // a waiting prompt costs more than the distance
	l.SetPeerLoads(begin, "other instance", map[string]Load{"near": {Requests: 2, PrefillTokens: 16400, MemoryTokens: 17600}})
	choice, _ = l.ChooseGeneration(begin, usual, candidates)
	is.Equal(choice.ID, "far")
	l.SetPeerLoads(begin, "other instance", nil)
	choice, _ = l.ChooseGeneration(begin, usual, candidates)
	is.Equal(choice.ID, "near")
}

func TestLoadOfRemovedServerIsNotNegative(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Add("here", Load{Requests: 1, PrefillTokens: 8200, MemoryTokens: 8800})
	l.Forget("here") // it restarted under the same id
	l.Add("here", Load{Requests: 1, PrefillTokens: 8200, MemoryTokens: 8800}.Negative())
	is.Equal(l.servers["here"].ownLoad, Load{})
}

func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	const lifetime = 2 * time.Second
	l.SetPeerLoads(begin, "other instance", map[string]Load{"here": {PrefillTokens: 50000}})
	l.ExpirePeerLoads(begin.Add(lifetime), lifetime)
	is.Equal(l.load("here"), Load{PrefillTokens: 50000})
	l.ExpirePeerLoads(begin.Add(lifetime+time.Millisecond), lifetime)
	choice, _ := l.ChooseGeneration(begin, usual, []Candidate{engine("here", here), engine("near", near)})
	is.Equal(choice.ID, "here")
}

func TestFullMemoryIsAvoided(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Add("here", Load{Requests: 9, MemoryTokens: 87000})
	choice, _ := l.ChooseGeneration(begin, usual, []Candidate{engine("here", here), engine("far", far)})
	is.Equal(choice.ID, "far")
	_, found := l.ChooseCopy(begin, usual, engine("far", far), []Candidate{engine("here", here)})
	is.True(!found) // a copy without free memory would evict generations
}

func TestCopyGoesToAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	candidates := []Candidate{engine("here", here), engine("here too", here), engine("near", near), engine("far", far)}
	id, found := l.ChooseCopy(begin, usual, candidates[0], candidates)
	is.True(found)
	is.Equal(id, "near")
	id, _ = l.ChooseCopy(begin, usual, candidates[0], candidates[:2])
	is.Equal(id, "here too") // better than none
}

func TestUnreachableServersAreAvoidedUntilTheySend(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Unreachable(begin, "here", here.DataCentre, false)
	is.True(l.Avoided(begin, "here", here.DataCentre))
	is.True(!l.Avoided(begin, "here too", here.DataCentre)) // a single failure doesn't affect the others
	l.Received(begin, "here")
	is.True(!l.Avoided(begin, "here", here.DataCentre))
	policy := DefaultPolicy()
	until := l.Unreachable(begin, "here", here.DataCentre, true)
	is.Equal(until, begin.Add(policy.DownAvoidTime))
}

func TestDataCentreIsSuspectedWhenSeveralFail(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Received(begin, "survivor")
	at := begin.Add(time.Second)
	l.Unreachable(at, "one", here.DataCentre, true)
	l.UnreachableAtPeer(at, "two", here.DataCentre, true)
	is.True(l.Avoided(at, "never tried", here.DataCentre))
	is.True(l.Avoided(at, "survivor", here.DataCentre))
	is.True(!l.Avoided(at, "elsewhere", far.DataCentre))
	l.Received(at.Add(time.Millisecond), "survivor")
	is.True(!l.Avoided(at.Add(time.Millisecond), "survivor", here.DataCentre))
	choice, _ := l.ChooseGeneration(at, usual, []Candidate{engine("never tried", here), engine("elsewhere", far)})
	is.Equal(choice.ID, "elsewhere")
	choice, _ = l.ChooseGeneration(at.Add(2*time.Second), usual, []Candidate{engine("never tried", here), engine("elsewhere", far)})
	is.Equal(choice.ID, "never tried")
}

func TestOlderPeerReportIsIgnored(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Received(begin.Add(time.Second), "s")
	l.UnreachableAtPeer(begin, "s", here.DataCentre, true)
	is.True(!l.Avoided(begin.Add(time.Second), "s", here.DataCentre))
}

func TestCallsAvoidSlowFailingAndSilentServers(t *testing.T) {
	candidates := []Candidate{{ID: "here", Place: here, Slots: 6}, {ID: "far", Place: far, Slots: 6}}
	for name, degrade := range map[string]func(l *Ledger){
		"slow": func(l *Ledger) {
			for range 8 {
				l.CallStarted(begin, "here")
				l.CallEnded(begin.Add(250*time.Millisecond), begin, "here", false)
			}
		},
		"failing": func(l *Ledger) {
			for range 8 {
				l.CallStarted(begin, "here")
				l.CallEnded(begin.Add(30*time.Millisecond), begin, "here", true)
			}
		},
		"silent": func(l *Ledger) { l.CallStarted(begin.Add(-time.Second), "here") },
		"full": func(l *Ledger) {
			for range 60 {
				l.CallStarted(begin, "here")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			id, found := l.ChooseCall(begin, candidates)
			is.True(found)
			is.Equal(id, "here")
			degrade(l)
			id, _ = l.ChooseCall(begin.Add(300*time.Millisecond), candidates)
			is.Equal(id, "far")
		})
	}
}

func TestCallFailuresDecay(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	for range 8 {
		l.CallStarted(begin, "here")
		l.CallEnded(begin.Add(30*time.Millisecond), begin, "here", true)
	}
	id, _ := l.ChooseCall(begin.Add(30*time.Second), []Candidate{{ID: "here", Place: here, Slots: 6}, {ID: "far", Place: far, Slots: 6}})
	is.Equal(id, "here")
}

// TestLoadsReturnToZero ends everything that it started, in drawn order.
func TestLoadsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		var open []func()
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			id := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				load := Load{Requests: 1, PrefillTokens: i, MemoryTokens: 2 * i}
				l.Add(id, load)
				open = append(open, func() { l.Add(id, load.Negative()) })
			case 1:
				at := begin.Add(time.Duration(i))
				l.CallStarted(at, id)
				open = append(open, func() { l.CallEnded(begin.Add(time.Second), at, id, i%2 == 0) })
			case 2:
				instance := "other-" + strconv.Itoa(i%2)
				l.SetPeerLoads(begin, instance, map[string]Load{id: {Requests: i + 1}})
				open = append(open, func() { l.SetPeerLoads(begin, instance, nil) })
			case 3:
				if len(open) > 0 {
					open[0]()
					open = open[1:]
				}
			}
		}
		for _, end := range open {
			end()
		}
		for id, server := range l.servers {
			if server.ownLoad != (Load{}) || server.peerLoad != (Load{}) || len(server.pending) > 0 {
				t.Fatalf("server %s still has a load: %+v", id, *server)
			}
		}
	})
}

func TestPartitionDividesTheServers(t *testing.T) {
	is := is.New(t)
	const instances, servers = 5, 23
	owners := make(map[string]int)
	for rank := range instances {
		var candidates []Candidate
		for n := range servers {
			candidates = append(candidates, engine(strconv.Itoa(n), []Place{here, far}[n%2]))
		}
		Partition{Rank: rank, Instances: instances}.MarkOutside(candidates)
		for _, candidate := range candidates {
			if !candidate.OutsidePartition {
				owners[candidate.ID]++
			}
		}
	}
	is.Equal(len(owners), servers)
	for id, count := range owners {
		is.Equal(count, 1) // id
		_ = id
	}
}

// Guards against REQUESTS AT ANOTHER SERVICE: data of a server may be handled long after its end.
func TestOnlyAnAnsweredRequestProvesThatAServerRan(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Received(begin, "here")
	l.CallStarted(begin, "here")
	l.CallEnded(begin.Add(time.Second), begin, "here", true)
	is.True(l.LastRan("here").IsZero())
	l.CallEnded(begin.Add(5*time.Second), begin, "here", false)
	is.Equal(l.LastRan("here"), begin) // when the call was sent, not when its answer was handled
	l.Ran(begin.Add(-time.Second), "here")
	is.Equal(l.LastRan("here"), begin)
}

func TestCancelledCallIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.CallStarted(begin, "here")
	until := l.Unreachable(begin.Add(time.Millisecond), "here", here.DataCentre, false)
	l.CallCancelled(begin.Add(100*time.Millisecond), begin, "here")
	is.True(l.LastReceived("here").IsZero())
	is.True(l.Avoided(until.Add(-time.Millisecond), "here", here.DataCentre))
	is.Equal(l.servers["here"].ownLoad, Load{})
	is.Equal(len(l.servers["here"].pending), 0)
	is.Equal(l.servers["here"].meanDuration, 100*time.Millisecond) // the lower bound of its duration
}
