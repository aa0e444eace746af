package peers

import (
	"net/netip"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

var begin = time.Unix(1_700_000_000, 0)

func addressOf(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

func TestDigestsArriveAsTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64Range(0, maxNumber)
		sent := Digest{
			Instance: rapid.StringMatching(`[a-z-]{1,30}`).Draw(t, "instance"), DataCentre: rapid.StringMatching(`[a-z-]{0,20}`).Draw(t, "centre"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: number.Draw(t, "sequence"),
			Version: number.Draw(t, "version"), Revision: number.Draw(t, "revision"), Servers: rapid.Uint64().Draw(t, "servers"),
			Relay: rapid.Bool().Draw(t, "relay"), Leaving: rapid.Bool().Draw(t, "leaving"),
			Probe: rapid.Bool().Draw(t, "greeting"), HasLoads: rapid.Bool().Draw(t, "has loads"),
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "parts") {
			id := "i-" + strconv.Itoa(i)
			sent.Loads = append(sent.Loads, ServerLoad{Server: id, Load: placement.Load{Requests: i + 1, PrefillTokens: 100 * i, MemoryTokens: 1000 * i}})
			sent.FailedServers = append(sent.FailedServers, FailedServer{Server: id, DataCentre: "a", Age: time.Duration(i) * time.Millisecond, Down: i%2 == 0})
			sent.Usages = append(sent.Usages, ServiceUsage{Service: id, Usage: secondsends.Usage{Requests: i, SecondSends: 2 * i}})
			sent.Members = append(sent.Members, addressOf(i))
		}
		payload := Encode(&sent)
		received, err := Decode(payload)
		if err != nil || !reflect.DeepEqual(&sent, received) {
			t.Fatalf("sent %+v, received %+v, %v", sent, received, err)
		}
	})
}

func TestDigestFitsIntoADatagram(t *testing.T) {
	is := is.New(t)
	digest := Digest{Instance: "i", HasLoads: true, FailedServers: []FailedServer{{Server: "lost"}}}
	for i := range 500 {
		digest.Loads = append(digest.Loads, ServerLoad{Server: "i-" + strconv.Itoa(i), Load: placement.Load{Requests: 1}})
	}
	payload := Encode(&digest)
	is.True(len(payload) <= datagram.MaxBytes)
	received, err := Decode(payload)
	is.NoErr(err)
	is.Equal(len(received.FailedServers), 1) // what is urgent is not left out
	is.True(len(received.Loads) > 20)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(&Digest{Instance: "i", Loads: []ServerLoad{{Server: "s", Load: placement.Load{Requests: 1}}}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		digest, err := Decode(payload)
		if err != nil {
			return
		}
		for _, load := range digest.Loads {
			if load.Load.Requests < 0 || load.Load.PrefillTokens < 0 || load.Load.MemoryTokens < 0 {
				t.Fatalf("negative load %+v", load)
			}
		}
	})
}

// hear lets a table hear of other instances of a data centre.
func hear(t *Table, now time.Time, instance int, change func(*Digest)) {
	digest := Digest{Instance: "instance-" + strconv.Itoa(instance), DataCentre: "a", Incarnation: 1, Sequence: uint64(now.UnixNano())}
	if change != nil {
		change(&digest)
	}
	t.Record(now, addressOf(instance), &digest)
}

func TestOlderDigestsAreNoNews(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	digest := &Digest{Instance: "other", Incarnation: 5, Sequence: 7, Version: 3}
	is.True(table.Record(begin, addressOf(1), digest))
	is.True(!table.Record(begin, addressOf(1), digest))
	is.True(table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 4, Sequence: 1}))  // it started again
	is.True(!table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 5, Sequence: 9})) // late
	is.True(table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 4, Sequence: 2}))
	is.True(!table.Record(begin, addressOf(2), &Digest{Instance: "own"})) // its own
}

// TestTwoInstancesFollowTheStore asks the tables of all instances of a data
// centre that know each other.
func TestTwoInstancesFollowTheStore(t *testing.T) {
	is := is.New(t)
	const count = 9
	following, backing, standingIn := 0, 0, 0
	at := begin.Add(time.Second)
	for own := range count {
		table := NewTable("instance-"+strconv.Itoa(own), addressOf(own), nil)
		for other := range count {
			if other != own {
				hear(table, at, other, func(d *Digest) { d.Relay = other == 0 })
			}
		}
		switch table.RelayRole(at, "a") {
		case discovery.Primary:
			following++
		case discovery.Backup:
			backing++
		case discovery.Substitute:
			standingIn++
		}
	}
	is.Equal(following, 1)
	is.Equal(following+backing, relaysPerCentre)
	is.Equal(standingIn, 0)
}

// TestOthersStandInOneAfterTheOther lets no relay reach the store.
func TestOthersStandInOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	const count = 6
	tables := make([]*Table, count)
	for own := range count {
		tables[own] = NewTable("instance-"+strconv.Itoa(own), addressOf(own), nil)
	}
	active := func(now time.Time) (active int) {
		for own, table := range tables {
			for other := range count {
				if other != own {
					hear(table, now, other, nil)
				}
			}
			if table.RelayRole(now, "a") != discovery.Passive {
				active++
			}
		}
		return active
	}
	is.Equal(active(begin), relaysPerCentre)
	for extra := 1; extra <= count-relaysPerCentre; extra++ {
		is.Equal(active(begin.Add(time.Duration(extra)*standInDelay)), relaysPerCentre+extra)
	}
}

func TestSilentRelayIsReplaced(t *testing.T) {
	is := is.New(t)
	table := NewTable("instance-0", addressOf(0), nil)
	now := begin
	for other := 1; other < 8; other++ {
		hear(table, now, other, func(d *Digest) { d.Relay = true })
	}
	before := 0
	for other := 1; other < 8; other++ {
		if relayRank("instance-"+strconv.Itoa(other)) < relayRank("instance-0") {
			before++
		}
	}
	is.True(before >= relaysPerCentre) // the test needs instances that come first
	is.Equal(table.RelayRole(now, "a"), discovery.Passive)
	is.Equal(table.RelayRole(now.Add(relaySilence+time.Millisecond), "a"), discovery.Primary)
}

// TestServersAreReadFromANearRelay offers the list in several places.
func TestServersAreReadFromANearRelay(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{DataCentre: "a", Revision: 5, Servers: 1}
	source := func() string {
		_, servers := table.FetchSources(begin, own)
		return servers.instance
	}
	hear(table, begin, 1, func(d *Digest) { d.Revision, d.Servers = 9, 2 })
	is.Equal(source(), "instance-1")
	hear(table, begin, 2, func(d *Digest) { d.DataCentre, d.Relay, d.Revision, d.Servers = "b", true, 9, 2 })
	is.Equal(source(), "instance-2")
	hear(table, begin, 3, func(d *Digest) { d.Relay, d.Revision, d.Servers = true, 8, 2 })
	is.Equal(source(), "instance-3")
	own.Relay, own.Revision = true, 9
	_, servers := table.FetchSources(begin, own)
	is.True(servers == nil) // it follows the store itself, which tells it as much as others
	own.Revision = 8
	is.Equal(source(), "instance-2") // its watch may be stuck
}

// TestBehindCountsFromTheLastNews lets a relay hear later than others, again and
// again: it is behind only when nothing new comes to it.
func TestBehindCountsFromTheLastNews(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{Relay: true, Revision: 5}
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	servers := func(ms int, ahead bool) time.Duration {
		configuration, servers := table.Lag(at(ms), own, true, ahead)
		is.Equal(configuration, at(ms).Sub(begin)) // news of servers are none of it
		return servers
	}
	is.Equal(servers(0, true), time.Duration(0))
	is.Equal(servers(300, true), 300*time.Millisecond)
	own.Revision = 6
	is.Equal(servers(400, true), time.Duration(0)) // the store told it something
	is.Equal(servers(1500, true), 1100*time.Millisecond)
	is.Equal(servers(1600, false), time.Duration(0))
	is.Equal(servers(1700, true), time.Duration(0))
}

// TestLookingForHelpUsesNoneUp looks at each digest, as instances do, before the
// servers are read.
func TestLookingForHelpUsesNoneUp(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	hear(table, begin, 1, func(d *Digest) { d.Revision, d.Servers = 9, 2 })
	own := LocalState{DataCentre: "a", Revision: 5, Servers: 1}
	for range 3 {
		_, servers := table.FetchSources(begin, own)
		is.True(servers != nil)
	}
	table.RecordNonRelayFetch(begin)
	_, servers := table.FetchSources(begin, own)
	is.True(servers == nil) // now and then only
	_, servers = table.FetchSources(begin.Add(helpSpacing), own)
	is.True(servers != nil)
}

func TestGreetingsEnd(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), []netip.Addr{addressOf(1), addressOf(100)})
	greeted := 0
	for second := range 100 {
		greeted += len(table.NextProbes(begin.Add(time.Duration(second) * greetPeriod)))
	}
	is.Equal(greeted, greetLimit)
	table.AddCandidates(addressOf(100), []netip.Addr{addressOf(2), addressOf(100)})
	is.Equal(len(table.NextProbes(begin)), 1)
	hear(table, begin, 2, nil)
	is.Equal(len(table.NextProbes(begin.Add(time.Hour))), 0)
	table.Expire(begin.Add(forgetAfter + time.Second))
	is.Equal(len(table.Members()), 0)
}

// TestFarInstancesAreAskedWhenNearOnesDoNotKnow lets a relay of another data centre
// know of a change first.
func TestFarInstancesAreAskedWhenNearOnesDoNotKnow(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{DataCentre: "a", Version: 4, Revision: 5, Servers: 1}
	hear(table, begin, 1, func(d *Digest) { d.Relay, d.Version, d.Revision, d.Servers = true, 4, 5, 1 })
	hear(table, begin, 2, func(d *Digest) {
		d.DataCentre, d.Relay, d.Version, d.Revision, d.Servers = "b", true, 6, 9, 2
	})
	configuration, servers := table.FetchSources(begin, own)
	is.Equal(servers.instance, "instance-2")
	for _, asked := range []*member{configuration, servers} {
		is.True(table.DeferToLocalRelay(begin, own, asked, 0) == nil) // the near relay will know in a moment
		is.Equal(table.DeferToLocalRelay(begin, own, asked, farPatience), asked)
		silent := begin.Add(relaySilence + time.Millisecond)
		is.Equal(table.DeferToLocalRelay(silent, own, asked, 0), asked) // there is no near relay any more
	}
	later := begin.Add(time.Millisecond)
	hear(table, later, 1, func(d *Digest) { d.Relay, d.Version, d.Revision, d.Servers = true, 6, 9, 2 })
	configuration, servers = table.FetchSources(later, own)
	is.Equal(configuration.instance, "instance-1")
	is.Equal(servers.instance, "instance-1")
	is.Equal(table.DeferToLocalRelay(later, own, servers, 0), servers)
	is.True(table.DeferToLocalRelay(later, own, nil, 0) == nil)
}
