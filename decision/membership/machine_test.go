package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// settleTime is enough for every suspicion, refutation and healing probe.
const settleTime = 90 * time.Second

// viewOf names one view of one item.
type viewOf struct{ at, item string }

// machine disturbs a fleet and checks it against what an onlooker knows: who
// runs, which marks were posted last, and what each view showed before.
type machine struct {
	fleet        *fleet
	recorded     []membership.Send
	incarnations map[viewOf]uint64
	stamps       map[viewOf]uint64
	// marked is the last act on the mark; sure while no instance was out of
	// reach of it.
	marked bool
	failed string
}

var markKey = membership.NoticeKey{Kind: membership.NoticeBackendServer, Name: "engine-1"}

func newMachine(seed uint64) *machine {
	m := &machine{
		fleet:        newFleet(seed, map[string]int{"a": 5, "b": 2}, []string{"a", "b"}),
		incarnations: make(map[viewOf]uint64),
		stamps:       make(map[viewOf]uint64),
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

// observe checks that no view goes back.
func (m *machine) observe(at string, change membership.Change) {
	switch change.Kind {
	case membership.ChangeHealth:
		key := viewOf{at, change.Record.Peer.Instance}
		if change.Record.Incarnation < m.incarnations[key] {
			m.failed = "a view went back to an older incarnation"
		}
		m.incarnations[key] = change.Record.Incarnation
	case membership.ChangeNotice:
		key := viewOf{at, change.Notice.Name}
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

// restart starts an instance anew: its views begin from nothing.
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

// act posts or withdraws the mark at an instance that runs.
func (m *machine) act(n *node, withdrawn bool) {
	if n.gone || n.paused {
		return
	}
	expires := m.fleet.net.Now().Add(2 * time.Hour)
	notice := membership.Notice{NoticeKey: markKey, Expires: expires, Withdrawn: withdrawn}
	m.fleet.step(n, membership.Post{Notice: notice})
	m.marked = !withdrawn
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
		"stop":  func(t *rapid.T) { m.pick(t).gone = true },
		"pause": func(t *rapid.T) { m.pick(t).paused = true },
		"return": func(t *rapid.T) {
			n := m.pick(t)
			switch {
			case n.gone:
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
			m.act(m.pick(t), rapid.Bool().Draw(t, "withdrawn"))
		},
		"replay": func(t *rapid.T) {
			send := m.recorded[rapid.IntRange(0, len(m.recorded)-1).Draw(t, "recorded")]
			if n := f.nodes[send.Digest.To]; !n.gone && !n.paused {
				f.step(n, membership.Received{Digest: send.Digest})
			}
		},
	}
}

// settle ends every disturbance, lets every instance read the platform's
// list, which is what joins instances whose seeds are gone, and waits.
func (m *machine) settle() {
	m.fleet.cut, m.fleet.loss = nil, 0
	for _, name := range m.fleet.names {
		n := m.fleet.nodes[name]
		if n.paused && !n.gone {
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
	m.fleet.run(settleTime)
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
		m.settle()
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
			first := views[0].HasNotice(markKey.Kind, markKey.Name, now)
			is.Equal(view.HasNotice(markKey.Kind, markKey.Name, now), first) // all agree on the mark
		}
	})
}

// TestLastActOnAMarkHolds has no partition: whoever acts knows the earlier act
// when the network had time to spread it, so that the last act must hold.
func TestLastActOnAMarkHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "acts") {
			sleeper := m.pick(t)
			sleeper.paused = true
			m.act(m.pick(t), rapid.Bool().Draw(t, "withdrawn"))
			m.fleet.run(time.Duration(rapid.IntRange(20, 300).Draw(t, "seconds")) * time.Second)
			m.fleet.resume(sleeper)
			m.fleet.run(settleTime)
		}
		for _, name := range m.fleet.running() {
			is.Equal(m.fleet.view(name).HasNotice(markKey.Kind, markKey.Name, m.fleet.net.Now()), m.marked)
		}
	})
}
