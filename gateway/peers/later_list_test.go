package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against DRAIN: the instances that follow the store end as the entry is removed that changed last. Started again, they take
// it from the others, whose lists hold a later change, and count their own watches as stuck.
func TestRestartedRelaysTakeNoEarlierListForNews(t *testing.T) {
	runVirtualEstate(t, []string{"a", "a", "a", "a"}, func(e *virtualEstate) {
		is := is.New(e.t)
		time.Sleep(settleTime)
		relays, _ := e.relays()
		go e.store.remove("w-3")
		e.restart(relays, 400*time.Millisecond)
		time.Sleep(startTime + 100*time.Millisecond)
		restarted, _ := e.relays()
		is.Equal(len(restarted), 2)
		for range 300 {
			for _, i := range restarted {
				is.True(i.directory.Snapshot().Find("w-3") == nil)
				is.True(i.follower.Following())
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestLaterListIsTheSource guards against an instance that doesn't read the list of a relay which is later than its own, because the
// entry that changed last was removed.
func TestLaterListIsTheSource(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	receiveDigest(table, begin, 1, func(d *Digest) { d.Relay, d.Revision, d.AsOf, d.Servers = true, 13, 15, 1 })
	receiveDigest(table, begin, 2, func(d *Digest) { d.Revision, d.AsOf, d.Servers = 14, 14, 2 })
	behind := LocalState{DataCentre: "a", Revision: 14, AsOf: 14, Servers: 2}
	_, servers := table.FetchSources(begin, behind)
	is.True(servers != nil)
	is.Equal(servers.address, addressOf(1))
	is.True(table.ServersDifference(begin.Add(time.Second), behind) == 0)
	is.True(table.ServersDifference(begin.Add(1200*time.Millisecond), behind) > 0)
	_, servers = table.FetchSources(begin, LocalState{DataCentre: "a", Revision: 13, AsOf: 15, Servers: 1, Relay: true})
	is.True(servers == nil) // the change of instance 2 is one of before
	receiveDigest(table, begin.Add(time.Millisecond), 2, func(d *Digest) { d.Revision, d.AsOf, d.Servers = 14, 20, 2 })
	_, servers = table.FetchSources(begin, LocalState{DataCentre: "a", Revision: 13, AsOf: 15, Servers: 1, Relay: true})
	is.True(servers == nil) // nor does its later list have one since
	receiveDigest(table, begin.Add(2*time.Millisecond), 2, func(d *Digest) { d.Revision, d.AsOf, d.Servers = 16, 20, 3 })
	_, servers = table.FetchSources(begin, LocalState{DataCentre: "a", Revision: 13, AsOf: 15, Servers: 1, Relay: true})
	is.True(servers != nil) // it hasn't arrived here
}
