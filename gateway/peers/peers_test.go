package peers

import (
	"net/netip"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

var begin = time.Unix(1_700_000_000, 0)

func addressOf(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64Range(0, maxNumber)
		sent := Digest{
			Instance: rapid.StringMatching(`[a-z-]{1,30}`).Draw(t, "instance"), DataCentre: rapid.StringMatching(`[a-z-]{0,20}`).Draw(t, "centre"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: number.Draw(t, "sequence"),
			Version: number.Draw(t, "version"), Revision: revision.Revision(number.Draw(t, "revision")), Servers: rapid.Uint64().Draw(t, "servers"), AsOf: revision.Revision(number.Draw(t, "as of")),
			Relay: rapid.Bool().Draw(t, "relay"), Leaving: rapid.Bool().Draw(t, "leaving"), StoreUnavailable: rapid.Bool().Draw(t, "store unavailable"),
			Probe: rapid.Bool().Draw(t, "greeting"), HasLoads: rapid.Bool().Draw(t, "has loads"),
			CutOff: CutOff{All: rapid.Bool().Draw(t, "cut off")},
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "parts") {
			id := "i-" + strconv.Itoa(i)
			sent.Loads = append(sent.Loads, ServerLoad{Server: id, Load: placement.Load{Requests: i + 1, PrefillTokens: 100 * i, MemoryTokens: 1000 * i}})
			sent.FailedServers = append(sent.FailedServers, FailedServer{Server: id, DataCentre: "a", Age: time.Duration(i) * time.Millisecond, Down: i%2 == 0})
			sent.LeavingServers = append(sent.LeavingServers, LeavingServer{Server: id, Address: "10.0.0.1:80", Incarnation: int64(i)})
			sent.Usages = append(sent.Usages, ServiceUsage{Service: id, Usage: secondsends.Usage{Requests: i, SecondSends: 2 * i}})
			sent.Rates = append(sent.Rates, ServiceRate{Service: id, Report: pace.Report{
				Observed: i + 1, EventInterval: 42 * time.Millisecond, EventIntervalDeviation: time.Duration(i) * time.Millisecond, EventsPerToken: 0.25, EventsPerTokenDeviation: 0.5,
				ReadTimePerToken: 125 * time.Microsecond, ReadTimeDeviation: time.Duration(i),
			}})
			sent.CutOff.Services = append(sent.CutOff.Services, id)
			sent.RejectionLimits = append(sent.RejectionLimits, rejections.ServiceLimit{Service: id, Limit: i + 1})
			sent.Rejections = append(sent.Rejections, RejectionReport{Server: id, Ages: []time.Duration{time.Duration(i) * time.Second, 0}})
			sent.Members = append(sent.Members, addressOf(i))
			sent.StreamRecords = append(sent.StreamRecords, streamversion.Record{Key: streamversion.Key(rapid.Uint64().Draw(t, "stream")), Origin: streamversion.Origin{Service: "s", Version: "v1"}})
			sent.WantedStreams = append(sent.WantedStreams, streamversion.Key(rapid.Uint64().Draw(t, "wanted")))
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
	is.Equal(len(received.FailedServers), 1) // failed servers are written before loads
	is.True(len(received.Loads) > 20)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(&Digest{Instance: "i", Loads: []ServerLoad{{Server: "s", Load: placement.Load{Requests: 1}}}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		digest, err := Decode(payload)
		if err != nil {
			return
		}
		if len(digest.CutOff.Services) > maxCutOffServices {
			t.Fatalf("%d services", len(digest.CutOff.Services))
		}
		for _, load := range digest.Loads {
			if load.Load.Requests < 0 || load.Load.PrefillTokens < 0 || load.Load.MemoryTokens < 0 {
				t.Fatalf("negative load %+v", load)
			}
		}
	})
}

// receiveDigest records a digest of another instance in data centre "a", after an optional
// change to it.
func receiveDigest(t *Table, now time.Time, instance int, change func(*Digest)) {
	digest := Digest{Instance: "instance-" + strconv.Itoa(instance), DataCentre: "a", Incarnation: 1, Sequence: uint64(now.UnixNano())}
	if change != nil {
		change(&digest)
	}
	t.Record(now, addressOf(instance), &digest)
}

func TestOutdatedDigestsAreDiscarded(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	digest := &Digest{Instance: "other", Incarnation: 5, Sequence: 7, Version: 3}
	is.True(table.Record(begin, addressOf(1), digest))
	is.True(!table.Record(begin, addressOf(1), digest))
	is.True(table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 4, Sequence: 1}))  // a new process
	is.True(!table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 5, Sequence: 9})) // late, of the previous process
	is.True(table.Record(begin, addressOf(1), &Digest{Instance: "other", Incarnation: 4, Sequence: 2}))
	is.True(!table.Record(begin, addressOf(2), &Digest{Instance: "own"})) // its own digest
}

// TestTwoInstancesFollowTheStore checks that the instances of a data centre, each by its
// own table, agree on which of them follow the store.
func TestTwoInstancesFollowTheStore(t *testing.T) {
	is := is.New(t)
	const count = 9
	primaries, backups, substitutes := 0, 0, 0
	at := begin.Add(time.Second)
	for own := range count {
		table := NewTable("instance-"+strconv.Itoa(own), addressOf(own), nil)
		for other := range count {
			if other != own {
				receiveDigest(table, at, other, func(d *Digest) { d.Relay = other == 0 })
			}
		}
		switch table.RelayRole(at, "a") {
		case discovery.Primary:
			primaries++
		case discovery.Backup:
			backups++
		case discovery.Substitute:
			substitutes++
		}
	}
	is.Equal(primaries, 1)
	is.Equal(primaries+backups, relaysPerCentre)
	is.Equal(substitutes, 0)
}

// TestSubstitutesStartOneAfterTheOther checks that one more instance becomes a substitute after
// each substituteDelay while no relay reaches the store.
func TestSubstitutesStartOneAfterTheOther(t *testing.T) {
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
					receiveDigest(table, now, other, nil)
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
		is.Equal(active(begin.Add(time.Duration(extra)*substituteDelay)), relaysPerCentre+extra)
	}
}

func TestSilentRelayIsReplaced(t *testing.T) {
	is := is.New(t)
	table := NewTable("instance-0", addressOf(0), nil)
	now := begin
	for other := 1; other < 8; other++ {
		receiveDigest(table, now, other, func(d *Digest) { d.Relay = true })
	}
	lowerRanked := 0
	for other := 1; other < 8; other++ {
		if relayRank("instance-"+strconv.Itoa(other)) < relayRank("instance-0") {
			lowerRanked++
		}
	}
	is.True(lowerRanked >= relaysPerCentre) // the test needs enough instances with a lower rank
	is.Equal(table.RelayRole(now, "a"), discovery.Passive)
	is.Equal(table.RelayRole(now.Add(relayTimeout+time.Millisecond), "a"), discovery.Primary)
}

// TestServersAreFetchedFromALocalRelay checks the order of preference when several peers
// have a newer list of servers.
func TestServersAreFetchedFromALocalRelay(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{DataCentre: "a", Revision: 5, Servers: 1}
	source := func() string {
		_, servers := table.FetchSources(begin, own)
		return servers.instance
	}
	receiveDigest(table, begin, 1, func(d *Digest) { d.Revision, d.Servers = 9, 2 })
	is.Equal(source(), "instance-1")
	receiveDigest(table, begin, 2, func(d *Digest) { d.DataCentre, d.Relay, d.Revision, d.Servers = "b", true, 9, 2 })
	is.Equal(source(), "instance-2")
	receiveDigest(table, begin, 3, func(d *Digest) { d.Relay, d.Revision, d.Servers = true, 8, 2 })
	is.Equal(source(), "instance-3")
	own.Relay, own.Revision = true, 9
	_, servers := table.FetchSources(begin, own)
	is.True(servers == nil) // it is a relay, and no peer has a higher revision
	own.Revision = 8
	is.Equal(source(), "instance-2") // a peer has a higher revision: its watch may be stuck
}

// TestLagCountsFromTheLastChange guards against a relay's watch being taken for stuck
// because each change reaches it later than its peers: the lag starts anew with every
// change from the store.
func TestLagCountsFromTheLastChange(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{Relay: true, Revision: 5}
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	servers := func(ms int, ahead bool) time.Duration {
		configuration, servers := table.Lag(at(ms), own, true, ahead)
		is.Equal(configuration, at(ms).Sub(begin)) // changes of servers do not affect it
		return servers
	}
	is.Equal(servers(0, true), time.Duration(0))
	is.Equal(servers(300, true), 300*time.Millisecond)
	own.Revision = 6
	is.Equal(servers(400, true), time.Duration(0)) // the store delivered a change
	is.Equal(servers(1500, true), 1100*time.Millisecond)
	is.Equal(servers(1600, false), time.Duration(0))
	is.Equal(servers(1700, true), time.Duration(0))
}

// TestChoosingASourceIsNoFetch guards against the choice of a source, which is made with
// each digest, counting as a fetch: only RecordNonRelayFetch starts nonRelayFetchSpacing.
func TestChoosingASourceIsNoFetch(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	receiveDigest(table, begin, 1, func(d *Digest) { d.Revision, d.Servers = 9, 2 })
	own := LocalState{DataCentre: "a", Revision: 5, Servers: 1}
	for range 3 {
		_, servers := table.FetchSources(begin, own)
		is.True(servers != nil)
	}
	table.RecordNonRelayFetch(begin)
	_, servers := table.FetchSources(begin, own)
	is.True(servers == nil) // not within nonRelayFetchSpacing
	_, servers = table.FetchSources(begin.Add(nonRelayFetchSpacing), own)
	is.True(servers != nil)
}

func TestProbesEnd(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), []netip.Addr{addressOf(1), addressOf(100)})
	probes := 0
	for second := range 100 {
		probes += len(table.NextProbes(begin.Add(time.Duration(second) * probePeriod)))
	}
	is.Equal(probes, maxProbes)
	table.AddCandidates(addressOf(100), []netip.Addr{addressOf(2), addressOf(100)})
	is.Equal(len(table.NextProbes(begin)), 1)
	receiveDigest(table, begin, 2, nil)
	is.Equal(len(table.NextProbes(begin.Add(time.Hour))), 0)
	table.Expire(begin.Add(peerTimeout + time.Second))
	is.Equal(len(table.Members()), 0)
}

// TestRemotePeersAreAskedWhenLocalOnesLag checks when a remote relay is asked that
// has a change before the relay of the own data centre.
func TestRemotePeersAreAskedWhenLocalOnesLag(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	own := LocalState{DataCentre: "a", Version: 4, Revision: 5, Servers: 1}
	receiveDigest(table, begin, 1, func(d *Digest) { d.Relay, d.Version, d.Revision, d.Servers = true, 4, 5, 1 })
	receiveDigest(table, begin, 2, func(d *Digest) {
		d.DataCentre, d.Relay, d.Version, d.Revision, d.Servers = "b", true, 6, 9, 2
	})
	configuration, servers := table.FetchSources(begin, own)
	is.Equal(servers.instance, "instance-2")
	for _, source := range []*peer{configuration, servers} {
		is.True(table.DeferToLocalRelay(begin, own, source, 0) == nil) // the local relay will soon have the change
		is.Equal(table.DeferToLocalRelay(begin, own, source, localRelayHeadStart), source)
		silent := begin.Add(relayTimeout + time.Millisecond)
		is.Equal(table.DeferToLocalRelay(silent, own, source, 0), source) // the local relay has failed
	}
	later := begin.Add(time.Millisecond)
	receiveDigest(table, later, 1, func(d *Digest) { d.Relay, d.Version, d.Revision, d.Servers = true, 6, 9, 2 })
	configuration, servers = table.FetchSources(later, own)
	is.Equal(configuration.instance, "instance-1")
	is.Equal(servers.instance, "instance-1")
	is.Equal(table.DeferToLocalRelay(later, own, servers, 0), servers)
	is.True(table.DeferToLocalRelay(later, own, nil, 0) == nil)
}

// TestLaterEraIsTheSource guards against an instance that keeps the servers of an earlier era because
// their revisions had higher numbers.
func TestLaterEraIsTheSource(t *testing.T) {
	is := is.New(t)
	at := func(era, number uint64) revision.Revision {
		made, err := revision.New(era, number)
		is.NoErr(err)
		return made
	}
	table := NewTable("own", addressOf(100), nil)
	receiveDigest(table, begin, 1, func(d *Digest) { d.Relay, d.Revision, d.Servers = true, at(1, 900), 1 })
	receiveDigest(table, begin, 2, func(d *Digest) { d.Relay, d.Revision, d.Servers = true, at(2, 10), 2 })
	for _, relay := range []bool{false, true} {
		_, servers := table.FetchSources(begin, LocalState{DataCentre: "a", Revision: at(1, 1000), Servers: 3, Relay: relay})
		is.True(servers != nil)
		is.Equal(servers.address, addressOf(2))
	}
	_, servers := table.FetchSources(begin, LocalState{DataCentre: "a", Revision: at(2, 12), Servers: 4})
	is.True(servers == nil) // nobody has later changes
}
