package rollouts

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// memoryStore holds one order.
type memoryStore struct {
	Store
	entry     Entry
	conflicts int
}

func (s *memoryStore) WriteStatus(_ context.Context, _ string, at revision.Revision, status Status) (Entry, error) {
	if at != s.entry.Revision {
		s.conflicts++
		return s.entry, fault.New(fault.RolloutConflict, "changed")
	}
	s.entry.Revision++
	s.entry.Status = status
	return s.entry, nil
}

// rig is a manager with two servers of each of two versions, and a clock of its own.
type rig struct {
	*Manager
	servers *directory.Directory
	clock   time.Time
}

func newRig(store Store) *rig {
	r := &rig{servers: directory.New(), clock: time.Now()}
	r.Manager = New(Options{
		Limits: rollout.Limits{Share: 0.1, Slack: 50, StopTime: 5 * time.Second}, Store: store, Directory: r.servers,
		Role: func() discovery.RelayRole { return discovery.Primary }, WriterRank: func(string) int { return 0 },
		Known: func(service string) bool { return service == "s" }, DrainTime: func() time.Duration { return time.Second },
		Instances: func() int { return 1 }, Announce: func() {}, Instance: "i", Logger: zerolog.New(io.Discard), Metrics: metrics.NewRegistry(),
	})
	r.now = func() time.Time { return r.clock }
	r.put("v1", 1)
	return r
}

func (r *rig) put(version string, at revision.Revision) {
	for n := range 2 {
		id := version + "-" + strconv.Itoa(n)
		r.servers.Put(&directory.Server{ID: id, Service: "s", Address: id, SoftwareVersion: version, DataCentre: strconv.Itoa(n), Revision: at + revision.Revision(n)})
	}
}

func (r *rig) admits(version string) bool {
	choice := r.Choose("s", "r", false, &Draw{})
	return choice.Admits(r.servers.Snapshot().Find(version + "-0"))
}

func orderTo(version string, at revision.Revision) Entry {
	return Entry{Name: "s", Revision: at, Order: rollout.Order{Service: "s", To: version, Duration: 10 * time.Second, Created: 1}}
}

func TestVersionThatAppearsIsNotUsedBeforeItsOrderMayCome(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	r.Choose("s", "r", true, &Draw{})
	r.put("v2", 10)
	is.True(!r.admits("v2"))
	is.True(r.admits("v1"))
	r.clock = r.clock.Add(arrivalTime)
	is.True(r.admits("v2"))
}

func TestOneOfTwoWritersTakesOverWhatTheOtherWrote(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{entry: orderTo("v2", 5)}
	first, second := newRig(store), newRig(store)
	for _, r := range []*rig{first, second} {
		r.put("v2", 10)
		r.applyEntries([]Entry{store.entry}, 5, true)
	}
	first.decide(first.moves["s"], rollout.RolledBack, rollout.ReasonBad, "first")
	second.decide(second.moves["s"], rollout.Completed, rollout.ReasonGood, "second")
	dueFirst, dueSecond := first.dueWrites(), second.dueWrites()
	first.write(t.Context(), dueFirst[0])
	second.write(t.Context(), dueSecond[0])
	is.Equal(store.conflicts, 1)
	is.Equal(store.entry.Status.Outcome, rollout.RolledBack)
	is.True(!second.admits("v2")) // the second writer follows
	is.True(second.admits("v1"))
	is.Equal(len(second.dueWrites()), 0)
}

// Guards against an order that has no effect because it was read before the configuration.
func TestOrderIsAppliedOnceItsServiceIsKnown(t *testing.T) {
	is := is.New(t)
	known := false
	r := newRig(&memoryStore{entry: orderTo("v2", 5)})
	r.options.Known = func(service string) bool { return known && service == "s" }
	r.put("v2", 10)
	r.applyEntries([]Entry{orderTo("v2", 5)}, 5, true)
	r.evaluate()
	is.Equal(len(r.moves), 0)
	known = true
	r.evaluate()
	is.True(r.moves["s"] != nil && r.moves["s"].known && r.moves["s"].running())
	known = false
	r.applyEntries([]Entry{{Name: "s", Revision: 6, Order: rollout.Order{Service: "s", To: "v3", Duration: time.Second, Created: 2}}}, 6, false)
	is.Equal(len(r.unknown), 1)
	r.applyEntries(nil, 7, true) // it was removed
	known = true
	r.evaluate()
	is.Equal(len(r.unknown), 0)
}

// TestVerdictOfAPeerHolds guards against instances that go on with a version because their own evidence is thin.
func TestVerdictOfAPeerHolds(t *testing.T) {
	is := is.New(t)
	r := newRig(&memoryStore{entry: orderTo("v2", 5)})
	r.put("v2", 10)
	order := orderTo("v2", 5).Order
	r.Learn("peer/1", []News{{Order: order, Seen: 5, Age: time.Second}})
	is.True(r.moves["s"].running())
	r.Learn("peer/1", []News{{Order: order, Seen: 5, Age: time.Second, Outcome: rollout.Completed}})
	is.True(r.moves["s"].running()) // the store doesn't hold it
	r.Learn("peer/1", []News{{Order: order, Seen: 5, Age: time.Second, Outcome: rollout.RolledBack}})
	is.Equal(r.moves["s"].plan.Outcome, rollout.RolledBack)
	r.Learn("peer/2", []News{{Order: order, Seen: 5, Age: time.Second, Outcome: rollout.Completed, Final: true}})
	is.True(r.admits("v2")) // the old servers stop
	is.True(!r.admits("v1"))
}

func TestSecondOrderWaitsForTheFirst(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{entry: orderTo("v3", 20)}
	r := newRig(store)
	r.put("v2", 10)
	r.applyEntries([]Entry{orderTo("v2", 5)}, 5, true)
	second := orderTo("v3", 20)
	r.applyEntries([]Entry{second}, 20, false)
	is.Equal(r.moves["s"].order.To, "v2")
	r.decide(r.moves["s"], rollout.RolledBack, rollout.ReasonBad, "i")
	r.write(t.Context(), r.dueWrites()[0])
	is.Equal(store.entry.Status.To, "v2")
	r.evaluate()
	is.Equal(r.moves["s"].order.To, "v3")
	r.put("v3", 30)
	is.True(!r.admits("v2")) // it was not completed
	is.True(r.admits("v1"))
}

func TestWithdrawnVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(nil)
	r.put("v2", 10)
	r.applyEntries([]Entry{orderTo("v2", 5)}, 5, true)
	r.applyEntries([]Entry{{Name: "s", Removed: true, Revision: 8}}, 8, false)
	is.True(!r.admits("v2"))
	is.True(r.admits("v1"))
	r.clock = r.clock.Add(time.Minute)
	is.True(!r.admits("v2"))
}

// Guards against a withdrawn order that goes on: an instance starts after the withdrawal, and a peer that hasn't heard of it tells
// the order.
func TestOrderThatWasWithdrawnBeforeTheStartIsNoNews(t *testing.T) {
	news := []News{{Order: orderTo("v2", 5).Order, Seen: 5, Age: time.Second}}
	for name, start := range map[string]func(*rig){
		"told after the list":  func(r *rig) { r.applyEntries(nil, 9, true); r.Learn("peer/1", news) },
		"told before the list": func(r *rig) { r.Learn("peer/1", news); r.applyEntries(nil, 9, true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, r := newRig(nil), newRig(nil)
			peer.put("v2", 10)
			peer.applyEntries([]Entry{orderTo("v2", 5)}, 5, true)
			r.put("v2", 10)
			start(r)
			is.True(!r.moves["s"].running())
			is.True(!r.admits("v2"))
			peer.Learn("other/1", r.News())
			is.True(!peer.moves["s"].running()) // the withdrawal is told
		})
	}
}

// Guards against the opposite: an order that is later than the list, or comes before there is one, is news.
func TestOrderThatIsLaterThanTheListIsNews(t *testing.T) {
	is := is.New(t)
	news := []News{{Order: orderTo("v2", 5).Order, Seen: 5, Age: time.Second}}
	starting, behind := newRig(nil), newRig(nil)
	behind.applyEntries(nil, 4, true)
	for _, r := range []*rig{starting, behind} {
		r.put("v2", 10)
		r.Learn("peer/1", news)
		is.True(r.moves["s"].running())
	}
	behind.applyEntries([]Entry{orderTo("v2", 5)}, 6, false)
	behind.Learn("peer/1", news)
	is.True(behind.moves["s"].running())
}
