package peers

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// removalCase is a way in which servers leave beside the end of the instances that follow the store.
type removalCase struct {
	// killedAfter is when the instances end, counted from the removal.
	killedAfter time.Duration
	down        time.Duration
	bothRelays  bool
	// newest says that the server's entry is the one that changed last.
	newest, drains bool
	servers        int
	again          time.Duration
	dataCentres    []string
	staleness      time.Duration
}

func (c removalCase) String() string {
	return fmt.Sprintf("killed %v after, down %v, both %v, newest %v, drains %v, %d servers, again %v, %d centres, stale %v",
		c.killedAfter, c.down, c.bothRelays, c.newest, c.drains, c.servers, c.again, len(c.dataCentres)/4, c.staleness)
}

// removalCases returns the combinations of what a removal may meet.
func removalCases() (cases []removalCase) {
	for _, killedAfter := range []time.Duration{-300 * time.Millisecond, 0, 20 * time.Millisecond, 300 * time.Millisecond} {
		for _, down := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			for bits := range 32 {
				c := removalCase{killedAfter: killedAfter, down: down, bothRelays: bits&1 == 0, newest: bits&2 == 0, drains: bits&4 != 0, servers: 1,
					dataCentres: []string{"a", "a", "a", "a"}}
				if bits&8 != 0 {
					c.servers, c.again = 2, 2*time.Second
				}
				if bits&16 != 0 {
					c.dataCentres = append(c.dataCentres, "b", "b", "b", "b")
					c.staleness = 300 * time.Millisecond
				}
				cases = append(cases, c)
			}
		}
	}
	return cases
}

func (c removalCase) play(e *virtualEstate) {
	leave := func(id string) {
		relays, _ := e.relays()
		var killed []*virtualInstance
		for _, i := range relays {
			if i.dataCentre == "a" && (c.bothRelays || len(killed) == 0) {
				killed = append(killed, i)
			}
		}
		remove := func() {
			if c.drains {
				e.store.drain(id)
				time.Sleep(500 * time.Millisecond)
			}
			e.store.remove(id)
		}
		if c.killedAfter < 0 {
			go e.restart(killed, c.down)
			time.Sleep(-c.killedAfter)
			remove()
			return
		}
		go remove()
		time.Sleep(c.killedAfter)
		e.restart(killed, c.down)
	}
	e.store.setStaleness(c.staleness)
	time.Sleep(settleTime)
	go e.checkLeaving()
	for n := range c.servers {
		id := fmt.Sprint("w-", n)
		if c.newest {
			id = fmt.Sprint("w-", 3-n)
		}
		e.store.writeElsewhere()
		leave(id)
		time.Sleep(c.again)
	}
	time.Sleep(drainTimeout + time.Second)
	e.settle(settleTime)
}

// Guards against DRAIN: a server is removed as the instances that follow the store end, so that nobody has its removal on record.
func TestRemovalThatNobodyHasOnRecordIsAppliedInTime(t *testing.T) {
	for _, c := range removalCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			runVirtualEstate(t, c.dataCentres, c.play)
		})
	}
}

// TestWorstCaseOfARemovalThatNobodyHasOnRecord varies how long before or after the removal both instances that follow the store end,
// how long they are away, and how old their first list may be. It logs when the last instance applied the removal.
func TestWorstCaseOfARemovalThatNobodyHasOnRecord(t *testing.T) {
	var worst time.Duration
	var worstCase removalCase
	for _, staleness := range []time.Duration{0, 2 * time.Second} {
		for killedAfter := -1200 * time.Millisecond; killedAfter <= 400*time.Millisecond; killedAfter += 400 * time.Millisecond {
			for down := 100 * time.Millisecond; down <= 2*time.Second; down += 100 * time.Millisecond {
				c := removalCase{killedAfter: killedAfter, down: down, bothRelays: true, newest: true, servers: 1, dataCentres: []string{"a", "a", "a", "a"}, staleness: staleness}
				runVirtualEstate(t, c.dataCentres, func(e *virtualEstate) {
					c.play(e)
					if longest := e.longest(); longest > worst {
						worst, worstCase = longest, c
					}
				})
			}
		}
	}
	t.Logf("%v: %v", worst, worstCase)
	is.New(t).True(worst <= drainTimeout)
}

// Guards against lists that differ for good beside relays of an older build, which name no servers.
func TestRelaysOfAnOlderBuildAreTreatedAsBefore(t *testing.T) {
	runVirtualEstate(t, []string{"a", "a", "a", "a"}, func(e *virtualEstate) {
		time.Sleep(settleTime)
		relays, others := e.relays()
		e.setOlder(func(i *virtualInstance) bool {
			return !slices.ContainsFunc(others, func(other *virtualInstance) bool { return other.number == i.number })
		})
		time.Sleep(time.Second)
		e.store.put("w-4")
		e.settle(time.Second)
		go e.store.remove("w-0")
		e.restart(relays, 400*time.Millisecond)
		e.settle(drainTimeout + time.Second)
	})
}

// Guards against traffic by names of servers: relays end every few seconds, each time as a server is removed.
func TestRemovalsBesideStartsKeepTheBoundOnTraffic(t *testing.T) {
	const maxBytesPerSecond = 8 << 10 // of an instance
	runVirtualEstate(t, []string{"a", "a", "a", "a", "a", "a"}, func(e *virtualEstate) {
		for n := range 300 {
			e.store.put(fmt.Sprint("i-", n*7919%100_000))
		}
		time.Sleep(settleTime)
		begun, before := time.Now(), e.sent()
		for n := range 10 {
			relays, _ := e.relays()
			go e.store.remove(fmt.Sprint("i-", n*7919))
			e.restart(relays, 400*time.Millisecond)
			time.Sleep(3600 * time.Millisecond)
		}
		e.settle(settleTime)
		rate := float64(e.sent()-before) / time.Since(begun).Seconds() / float64(len(e.instances()))
		t.Logf("%.0f bytes a second", rate)
		is.New(e.t).True(rate < maxBytesPerSecond)
	})
}

// Guards against DRAIN: the names of a peer's servers aren't asked for or not sent.
func TestNamesOfServersAreReadFromAPeer(t *testing.T) {
	is := is.New(t)
	listener := fasthttputil.NewInmemoryListener()
	defer func() { _ = listener.Close() }()
	holder, reader := newService(netip.MustParseAddrPort("10.0.0.2:1")), newService(netip.MustParseAddrPort("10.0.0.100:1"))
	server := &fasthttp.Server{Handler: holder.Handler()}
	go func() { _ = server.Serve(listener) }()
	reader.client.Dial = func(string) (net.Conn, error) { return listener.Dial() }
	entry := func(id string, at revision.Revision) *directory.Server {
		return &directory.Server{ID: id, Service: "calls", Address: "address of " + id, Revision: at}
	}
	for d, ids := range map[*directory.Directory][]string{holder.options.Directory: {"stays"}, reader.options.Directory: {"stays", "removed"}} {
		for n, id := range ids {
			d.Put(entry(id, revision.Revision(n+5)))
		}
		d.Unlisted(map[string]bool{"stays": true, "removed": true}, 7)
	}
	holder.options.Directory.Advance(9)
	is.NoErr(reader.fetchServers(fetchSource{address: addressOf(2), relay: true, listed: true}))
	is.True(reader.options.Directory.Snapshot().Find("stays") != nil)
	is.True(reader.options.Directory.Snapshot().Find("removed") == nil)
	is.Equal(reader.options.Directory.AsOf(), revision.Revision(9))
}

// Guards against an adopted server that is kept for good, and against one that is removed before its own entry can be written.
func TestAdoptedServerStaysUntilItsEntryIsDue(t *testing.T) {
	runVirtualEstate(t, []string{"a", "a", "a", "a"}, func(e *virtualEstate) {
		is := is.New(e.t)
		time.Sleep(settleTime)
		_, others := e.relays()
		adopter := others[0].directory
		is.True(adopter.Adopt(adopter.Snapshot().Find("w-0"), "again") != nil)
		e.store.remove("w-0")
		time.Sleep(1500 * time.Millisecond)
		is.True(adopter.Snapshot().Find("again") != nil)
		e.settle(settleTime) // its entry isn't written
	})
}
