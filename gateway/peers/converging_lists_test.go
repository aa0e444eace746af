package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settleTime is enough for starting instances to know each other and the store's list.
const settleTime = 6 * time.Second

var twoCentres = []string{"a", "a", "a", "b", "b", "b"}

// Guards against an instance without servers: it starts while the store is unavailable, and its peers know them.
func TestInstanceThatStartsInAnOutageGetsTheListOfItsPeers(t *testing.T) {
	runVirtualEstate(t, twoCentres, func(e *virtualEstate) {
		time.Sleep(settleTime)
		e.store.setAway(true)
		time.Sleep(time.Second)
		e.restart(e.instances()[:3], 400*time.Millisecond)
		e.settle(2 * time.Second)
	})
}

// Guards against servers that are missing although they run: their entries expired in an outage, and the instances that follow
// the store are ended beside it. Those that aren't ended keep such servers; the others have them as soon as they are written again.
func TestEntriesThatExpireInAnOutageAreBackInTime(t *testing.T) {
	for name, killedAfter := range map[string]time.Duration{"none is ended": -1, "as the store returns": 0, "before it returns": -1200 * time.Millisecond, "after it has returned": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runVirtualEstate(t, twoCentres, func(e *virtualEstate) {
				is := is.New(e.t)
				time.Sleep(settleTime)
				relays, others := e.relays()
				e.store.setAway(true)
				time.Sleep(4 * time.Second)
				e.store.lapse("w-1")
				time.Sleep(2 * time.Second)
				returned := time.Now().Add(1200 * time.Millisecond)
				if name != "none is ended" {
					go func() {
						time.Sleep(time.Until(returned.Add(killedAfter)))
						e.restart(relays, 400*time.Millisecond)
					}()
				}
				time.Sleep(time.Until(returned))
				e.store.setAway(false)
				for time.Since(returned) < lapsedEntryTime-200*time.Millisecond {
					for _, i := range others {
						is.True(i.directory.Snapshot().Find("w-1") != nil)
					}
					time.Sleep(20 * time.Millisecond)
				}
				e.store.put("w-1")
				e.settle(drainTimeout)
			})
		})
	}
}

// Guards against servers that are missing although they run: instances that never tried to read the store don't know that their
// entries expired in an outage, when all those that did are ended at its return.
func TestInstancesThatReadNoStoreKnowOfItsOutage(t *testing.T) {
	runVirtualEstate(t, slices.Repeat([]string{"a"}, 20), func(e *virtualEstate) {
		is := is.New(e.t)
		time.Sleep(settleTime)
		e.store.setAway(true)
		tried := make(map[*virtualInstance]bool)
		for range 90 {
			time.Sleep(50 * time.Millisecond)
			for _, i := range e.instances() {
				if i.follower.StoreUnavailable() {
					tried[i] = true
				}
			}
		}
		e.store.lapse("w-1")
		e.store.setAway(false)
		var others []*virtualInstance
		for _, i := range e.instances() {
			if !tried[i] {
				others = append(others, i)
			}
		}
		is.True(len(others) > 0)
		go e.restart(slices.Collect(maps.Keys(tried)), 100*time.Millisecond)
		for range 90 {
			time.Sleep(20 * time.Millisecond)
			for _, i := range others {
				if i.directory.Snapshot().Find("w-1") == nil {
					e.t.Fatalf("instance %d lacks w-1 %v after the store's return", i.number, time.Since(e.store.returnedAt))
				}
			}
		}
		e.store.put("w-1")
		e.settle(drainTimeout)
	})
}

// Guards against a server that is kept for good: its entry expired in an outage and isn't written again.
func TestEntryThatStaysMissingAfterAnOutageIsRemoved(t *testing.T) {
	runVirtualEstate(t, twoCentres, func(e *virtualEstate) {
		time.Sleep(settleTime)
		relays, _ := e.relays()
		e.store.setAway(true)
		time.Sleep(5 * time.Second)
		e.store.remove("w-1")
		time.Sleep(time.Second)
		e.store.setAway(false)
		e.restart(relays, 400*time.Millisecond)
		e.settle(contactTime)
	})
}

// Guards against a list that is taken for the store's although it isn't: of an instance that never read it.
func TestIncompleteListRemovesNobody(t *testing.T) {
	runVirtualEstate(t, []string{"a", "a", "a"}, func(e *virtualEstate) {
		is := is.New(e.t)
		time.Sleep(settleTime)
		e.store.setAway(true)
		time.Sleep(3 * time.Second)
		e.setApart(func(a, b *virtualInstance) bool { return a.number == 3 || b.number == 3 })
		lonely := e.start(3, "a")
		time.Sleep(2 * time.Second)
		is.Equal(len(lonely.directory.Snapshot().All), 0)
		e.setApart(nil)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			for _, i := range e.instances()[:3] {
				is.Equal(len(i.directory.Snapshot().All), 4)
			}
		}
		is.Equal(len(lonely.directory.Snapshot().All), 4)
	})
}

// Guards against two lists after a partition: servers came and left while the groups of instances didn't hear each other, and
// only one of them read the store.
func TestPartitionEndsInOneList(t *testing.T) {
	for name, cutOff := range map[string][]string{"both read the store": nil, "one reads the store": {"b"}} {
		t.Run(name, func(t *testing.T) {
			runVirtualEstate(t, twoCentres, func(e *virtualEstate) {
				time.Sleep(settleTime)
				e.setApart(func(a, b *virtualInstance) bool { return a.dataCentre != b.dataCentre })
				for _, dataCentre := range cutOff {
					e.store.cut(dataCentre)
				}
				time.Sleep(2 * time.Second)
				e.store.remove("w-3")
				e.store.put("w-4")
				e.restart(e.instances()[:2], 400*time.Millisecond)
				e.store.remove("w-0")
				time.Sleep(3 * time.Second)
				e.restart(e.instances()[4:], 400*time.Millisecond)
				time.Sleep(8 * time.Second)
				e.setApart(nil)
				e.settle(drainTimeout) // also while the store is unavailable to one group
			})
		})
	}
}

// Guards against lists that differ for good: a complete list wasn't read because one had been read shortly before, and the
// relay's list didn't change again.
func TestListsThatDifferAfterAFetchAreComparedAgain(t *testing.T) {
	runVirtualEstate(t, []string{"a", "a", "a", "a"}, func(e *virtualEstate) {
		time.Sleep(settleTime)
		for _, id := range []string{"w-0", "w-1"} {
			relays, _ := e.relays()
			go e.store.remove(id)
			e.restart(relays, 400*time.Millisecond)
			time.Sleep(2 * time.Second)
		}
		e.settle(completeListSpacing + contactTime)
	})
}

// TestListsConvergeToTheStoresWhateverStartsWhen plays random changes of servers beside ends and starts of instances, outages of the
// store and partitions. Servers that left are used no longer than allowed, and in the end all lists are the store's.
func TestListsConvergeToTheStoresWhateverStartsWhen(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			choices := rand.New(rand.NewPCG(seed, 63))
			dataCentres := twoCentres
			if seed%2 == 0 {
				dataCentres = []string{"a", "a", "a", "a"}
			}
			runVirtualEstate(t, dataCentres, func(e *virtualEstate) {
				e.store.setStaleness(time.Duration(choices.IntN(700)) * time.Millisecond)
				time.Sleep(settleTime)
				go e.checkLeaving()
				playRandomly(e, choices)
				time.Sleep(drainTimeout)
				e.settle(completeListSpacing + contactTime)
			})
		})
	}
}

// playRandomly plays some troubles and ends them.
func playRandomly(e *virtualEstate, choices *rand.Rand) {
	next := 4
	for range 25 {
		time.Sleep(time.Duration(choices.IntN(1200)) * time.Millisecond)
		listed := slices.Sorted(maps.Keys(e.store.current()))
		switch choices.IntN(10) {
		case 0, 1:
			e.store.put(fmt.Sprint("w-", next))
			next++
		case 2, 3, 4:
			if len(listed) > 1 {
				e.store.remove(choose(choices, listed))
			}
		case 5:
			if len(listed) > 1 {
				e.store.drain(choose(choices, listed))
			}
		case 6:
			e.store.writeElsewhere()
		case 7, 8:
			e.killSome(choices, listed)
		case 9:
			e.disturb(choices)
		}
	}
}

// killSome restarts the instances that follow the store, or others, as servers leave. Ends don't follow each other closely.
func (e *virtualEstate) killSome(choices *rand.Rand, listed []string) {
	killed, others := e.relays()
	switch choices.IntN(4) {
	case 0:
		killed = killed[:min(1, len(killed))]
	case 1:
		killed = others
	}
	if len(listed) > 2 {
		after, leaves := time.Duration(choices.IntN(400))*time.Millisecond, choose(choices, listed)
		go func() {
			time.Sleep(after)
			e.store.remove(leaves)
		}()
	}
	time.Sleep(time.Duration(choices.IntN(400)) * time.Millisecond)
	e.restart(killed, time.Duration(choices.IntN(1500))*time.Millisecond)
	time.Sleep(drainTimeout)
}

// disturb makes the store unavailable or the data centres unreachable for a while. Entries of servers that run expire in an outage.
func (e *virtualEstate) disturb(choices *rand.Rand) {
	defer e.store.setAway(false)
	if choices.IntN(2) == 0 {
		e.setApart(func(a, b *virtualInstance) bool { return a.dataCentre != b.dataCentre })
		e.store.timeline.add("the data centres are apart")
		time.Sleep(time.Duration(choices.IntN(6000)) * time.Millisecond)
		e.store.timeline.add("the data centres aren't apart")
		e.setApart(nil)
		return
	}
	e.store.setAway(true)
	time.Sleep(time.Duration(3600+choices.IntN(3000)) * time.Millisecond)
	lapsed := choose(choices, slices.Sorted(maps.Keys(e.store.current())))
	e.store.lapse(lapsed)
	after := time.Duration(500+choices.IntN(1500)) * time.Millisecond
	go func() {
		time.Sleep(after)
		e.store.put(lapsed)
	}()
}
