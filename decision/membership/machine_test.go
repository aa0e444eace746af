package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// convergenceTime is enough for every suspicion, refutation and probe of dead peers.
const convergenceTime = 90 * time.Second

// viewItem identifies one item in the view of one instance.
type viewItem struct{ at, item string }

// machine injects faults into a fleet and checks its views against the true
// state: the running instances, the last post of the notice, and what each view
// showed before.
type machine struct {
	fleet        *fleet
	recorded     []membership.Send
	incarnations map[viewItem]uint64
	stamps       map[viewItem]uint64
	// posted is true when the last call of postNotice posted the notice, false
	// when it withdrew it. The views must match it only if no instance was
	// unreachable.
	posted bool
	failed string
}

var noticeKey = membership.NoticeKey{Kind: membership.NoticeBackendServer, Name: "engine-1"}

func newMachine(seed uint64) *machine {
	m := &machine{
		fleet:        newFleet(seed, map[string]int{"a": 5, "b": 2}, []string{"a", "b"}),
		incarnations: make(map[viewItem]uint64),
		stamps:       make(map[viewItem]uint64),
	}
	m.fleet.onSend = func(_ string, send membership.Send) {
		if len(m.recorded) < 200 {
			m.recorded = append(m.recorded, send)
		}
	}
	m.fleet.onChange = m.observe
	m.fleet.run(15 * time.Second)
	return m
}

// observe checks that no view returns to an older incarnation or notice.
func (m *machine) observe(at string, change membership.Change) {
	switch change.Kind {
	case membership.ChangeHealth:
		key := viewItem{at, change.Record.Peer.Instance}
		if change.Record.Incarnation < m.incarnations[key] {
			m.failed = "a view went back to an older incarnation"
		}
		m.incarnations[key] = change.Record.Incarnation
	case membership.ChangeNotice:
		key := viewItem{at, change.Notice.Name}
		if change.Notice.Stamp < m.stamps[key] {
			m.failed = "a view went back to an older notice"
		}
		m.stamps[key] = change.Notice.Stamp
	default:
	}
}

func (m *machine) pick(t *rapid.T) *node {
	return m.fleet.nodes[rapid.SampledFrom(m.fleet.names).Draw(t, "instance")]
}

// restart starts an instance again with an empty view.
func (m *machine) restart(n *node) {
	for key := range m.incarnations {
		if key.at == n.peer.Instance {
			delete(m.incarnations, key)
		}
	}
	for key := range m.stamps {
		if key.at == n.peer.Instance {
			delete(m.stamps, key)
		}
	}
	m.fleet.start(n.peer, []settings.Peer{peerOf("a", 0), peerOf("b", 0)})
}

// postNotice posts or withdraws the notice at an instance if it is running.
func (m *machine) postNotice(n *node, withdrawn bool) {
	if n.stopped || n.paused {
		return
	}
	expires := m.fleet.net.Now().Add(2 * time.Hour)
	notice := membership.Notice{NoticeKey: noticeKey, Expires: expires, Withdrawn: withdrawn}
	m.fleet.step(n, membership.Post{Notice: notice})
	m.posted = !withdrawn
}

func (m *machine) actions() map[string]func(*rapid.T) {
	f := m.fleet
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if m.failed != "" {
				t.Fatal(m.failed)
			}
		},
		"run": func(t *rapid.T) {
			f.run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
		},
		"wait": func(t *rapid.T) {
			f.run(time.Duration(rapid.SampledFrom([]int{1, 2, 11}).Draw(t, "minutes")) * time.Minute)
		},
		"stop":  func(t *rapid.T) { m.pick(t).stopped = true },
		"pause": func(t *rapid.T) { m.pick(t).paused = true },
		"return": func(t *rapid.T) {
			n := m.pick(t)
			switch {
			case n.stopped:
				m.restart(n)
			case n.paused:
				f.resume(n)
			}
		},
		"cut": func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.SampledFrom(f.names), 1, 3).Draw(t, "side")
			f.cut = func(from, to string) bool { return contains(side, from) != contains(side, to) }
		},
		"heal": func(*rapid.T) { f.cut = nil },
		"lose": func(t *rapid.T) { f.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss") },
		"post": func(t *rapid.T) {
			m.postNotice(m.pick(t), rapid.Bool().Draw(t, "withdrawn"))
		},
		"replay": func(t *rapid.T) {
			send := m.recorded[rapid.IntRange(0, len(m.recorded)-1).Draw(t, "recorded")]
			if n := f.nodes[send.Digest.To]; !n.stopped && !n.paused {
				f.step(n, membership.Received{Digest: send.Digest})
			}
		},
	}
}

// endFaults ends every fault, passes the platform's list to every instance, because
// instances whose seeds are gone join only through it, and waits for convergence.
func (m *machine) endFaults() {
	m.fleet.cut, m.fleet.loss = nil, 0
	for _, name := range m.fleet.names {
		n := m.fleet.nodes[name]
		if n.paused && !n.stopped {
			m.fleet.resume(n)
		}
	}
	var listed []settings.Peer
	for _, name := range m.fleet.running() {
		listed = append(listed, m.fleet.nodes[name].peer)
	}
	for _, name := range m.fleet.running() {
		m.fleet.step(m.fleet.nodes[name], membership.Listed{Peers: listed})
	}
	m.fleet.run(convergenceTime)
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

func TestViewsNeverGoBackAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(m.actions())
		m.endFaults()
		is.Equal(m.failed, "")
		var views []*membership.Snapshot
		for _, name := range m.fleet.running() {
			views = append(views, m.fleet.view(name))
		}
		running := m.fleet.running()
		for _, view := range views {
			centre := view.Self.Peer.DataCentre
			var expected []string
			for _, name := range running {
				if m.fleet.nodes[name].peer.DataCentre == centre {
					expected = append(expected, name)
				}
			}
			is.Equal(view.Live(centre), expected) // exactly the running instances are live
			now := m.fleet.net.Now()
			first := views[0].HasNotice(noticeKey.Kind, noticeKey.Name, now)
			is.Equal(view.HasNotice(noticeKey.Kind, noticeKey.Name, now), first) // all agree on the notice
		}
	})
}

// TestLastPostOfANoticeHolds guards against a paused instance that brings back an
// earlier post or withdrawal. There is no partition, so that every post comes
// after the earlier one has reached the posting instance, and the last must hold.
func TestLastPostOfANoticeHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "acts") {
			pausedNode := m.pick(t)
			pausedNode.paused = true
			m.postNotice(m.pick(t), rapid.Bool().Draw(t, "withdrawn"))
			m.fleet.run(time.Duration(rapid.IntRange(20, 300).Draw(t, "seconds")) * time.Second)
			m.fleet.resume(pausedNode)
			m.fleet.run(convergenceTime)
		}
		for _, name := range m.fleet.running() {
			is.Equal(m.fleet.view(name).HasNotice(noticeKey.Kind, noticeKey.Name, m.fleet.net.Now()), m.posted)
		}
	})
}
