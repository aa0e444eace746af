package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
)

// tell lets one instance receive a digest of another that is proven to it.
func tell(f *fleet, from, to string, change func(*membership.Digest)) {
	sender := f.nodes[from].table.Self()
	digest := membership.Digest{Kind: membership.Update, From: sender, To: to, Sequence: 1 << 63}
	change(&digest)
	f.step(f.nodes[to], membership.Received{Digest: digest})
}

func TestDeathOfAnOlderIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(21, map[string]int{"a": 3}, []string{"a"})
	f.run(15 * time.Second)
	record, _ := f.view("a-entry-0").Record("a-entry-1")
	record.Incarnation--
	record.Health = membership.Dead
	tell(f, "a-entry-2", "a-entry-0", func(d *membership.Digest) { d.Records = []membership.Record{record} })
	is.Equal(len(f.view("a-entry-0").Live("a")), 3)
	is.True(f.nodes["a-entry-0"].table.Counters().StaleRecords > 0)
}

func TestWaitingDigestsOfAPauseProveNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(22, map[string]int{"a": 4}, []string{"a"})
	f.run(15 * time.Second)
	sleeper := f.nodes["a-entry-3"]
	sleeper.paused = true
	f.run(2 * time.Second)
	f.nodes["a-entry-1"].gone = true
	f.run(time.Minute)
	is.True(len(sleeper.held) > 0)
	f.resume(sleeper)
	record, _ := f.view("a-entry-3").Record("a-entry-1")
	is.True(record.Age >= time.Minute) // what waited in the socket does not count as heard now
}

func TestPartsMeetAgainAfterTheyForgotEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(23, map[string]int{"a": 6}, []string{"a"})
	f.run(15 * time.Second)
	f.nodes["a-entry-0"].gone = true // the only seed
	side := []string{"a-entry-1", "a-entry-2"}
	f.cut = func(from, to string) bool { return contains(side, from) != contains(side, to) }
	f.run(25 * time.Minute)
	_, known := f.view("a-entry-1").Record("a-entry-4")
	is.True(!known)
	f.cut = nil
	f.run(2 * time.Minute)
	is.True(liveEverywhere(f, "a", 5))
}

func TestSuspectGetsANewChanceAfterAPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(24, map[string]int{"a": 2}, []string{"a"})
	f.run(15 * time.Second)
	f.nodes["a-entry-1"].paused = true
	f.run(3 * time.Second)
	record, _ := f.view("a-entry-0").Record("a-entry-1")
	is.Equal(record.Health, membership.Suspect)
	f.nodes["a-entry-0"].paused = true
	f.run(time.Minute)
	f.nodes["a-entry-0"].paused = false
	f.resume(f.nodes["a-entry-1"])
	f.run(150 * time.Millisecond)
	record, _ = f.view("a-entry-0").Record("a-entry-1")
	is.True(record.Health != membership.Dead)
}

func TestIntroducedInstancesAreTakenInUnlessTheyAreOld(t *testing.T) {
	is := is.New(t)
	f := newFleet(25, map[string]int{"a": 2}, []string{"a"})
	f.run(15 * time.Second)
	fresh := membership.Record{Peer: peerOf("a", 7), Incarnation: 1, Age: time.Second}
	old := membership.Record{Peer: peerOf("a", 8), Incarnation: 1, Age: membership.DefaultDeadRetention}
	f.step(f.nodes["a-entry-0"], membership.Introduced{Records: []membership.Record{fresh, old}})
	is.Equal(f.view("a-entry-0").Live("a"), []string{"a-entry-0", "a-entry-1", "a-entry-7"})
}
