package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/internal/virtualnet"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one instance under test; a paused one holds its messages back.
type node struct {
	table   *membership.Table
	peer    settings.Peer
	paused  bool
	stopped bool
	held    []membership.Input
}

// fleet runs many tables over a virtual network.
type fleet struct {
	net    *virtualnet.Network[membership.Input]
	random *rand.Rand
	nodes  map[string]*node
	names  []string
	loss   float64
	cut    func(from, to string) bool
	// onSend is called with every digest before it is delivered.
	onSend func(from string, send membership.Send)
	// onChange is called with every change of a view.
	onChange func(at string, change membership.Change)
}

func peerOf(centre string, index int) settings.Peer {
	name := fmt.Sprintf("%s-entry-%d", centre, index)
	return settings.Peer{
		Instance: name, DataCentre: centre, Region: "region-" + centre[:1],
		Gossip: fmt.Sprintf("10.0.%d.%d:7401", len(centre), index), Peers: "10.0.0.1:7402",
		Callers: "10.0.0.1:7403", Operators: "10.0.0.1:7404",
	}
}

func newFleet(seed uint64, sizes map[string]int, centres []string) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node)}
	f.net = virtualnet.New[membership.Input](start, f.delay)
	var seeds []settings.Peer
	for _, centre := range centres {
		seeds = append(seeds, peerOf(centre, 0))
	}
	for _, centre := range centres {
		for index := range sizes[centre] {
			f.start(peerOf(centre, index), seeds)
		}
	}
	return f
}

// start starts an instance and replaces an earlier one of the same name.
func (f *fleet) start(peer settings.Peer, seeds []settings.Peer) {
	config := membership.Config{Self: peer, Seeds: seeds, Incarnation: uint64(f.net.Now().UnixMilli())}
	table := membership.New(config, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	if _, again := f.nodes[peer.Instance]; !again {
		f.names = append(f.names, peer.Instance)
		f.net.At(f.net.Now().Add(time.Duration(f.random.IntN(1000))*time.Millisecond), peer.Instance, membership.Tick{})
	}
	f.nodes[peer.Instance] = &node{table: table, peer: peer}
}

func (f *fleet) delay(from, to string) (time.Duration, bool) {
	if f.cut != nil && f.cut(from, to) {
		return 0, false
	}
	if f.random.Float64() < f.loss {
		return 0, false
	}
	return time.Duration(500+f.random.IntN(2000)) * time.Microsecond, true
}

// run advances the virtual time by the span.
func (f *fleet) run(span time.Duration) {
	limit := f.net.Now().Add(span)
	for {
		message, ok := f.net.Next(limit)
		if !ok {
			return
		}
		n := f.nodes[message.To]
		if _, tick := message.Payload.(membership.Tick); tick {
			f.net.At(f.net.Now().Add(membership.DefaultTickInterval), message.To, membership.Tick{})
		}
		switch {
		case n.stopped:
		case n.paused:
			if _, tick := message.Payload.(membership.Tick); !tick && len(n.held) < 20 {
				n.held = append(n.held, message.Payload)
			}
		default:
			f.step(n, message.Payload)
		}
	}
}

func (f *fleet) step(n *node, input membership.Input) membership.Output {
	out := n.table.Step(f.net.Now(), input)
	for _, change := range out.Changes {
		if f.onChange != nil {
			f.onChange(n.peer.Instance, change)
		}
	}
	for _, send := range out.Sends {
		if f.onSend != nil {
			f.onSend(n.peer.Instance, send)
		}
		received := membership.Received{Digest: send.Digest, Bytes: send.Digest.Size() + membership.DatagramHeaderBytes}
		f.net.Send(n.peer.Instance, send.Digest.To, received)
	}
	return out
}

// resume ends a pause. The held messages arrive first, as from a socket buffer.
func (f *fleet) resume(n *node) {
	n.paused = false
	for _, input := range n.held {
		f.step(n, input)
	}
	n.held = nil
}

func (f *fleet) view(name string) *membership.Snapshot {
	return f.nodes[name].table.Snapshot(f.net.Now())
}

// running returns the instances that are up and not paused.
func (f *fleet) running() []string {
	var names []string
	for _, name := range f.names {
		if n := f.nodes[name]; !n.stopped && !n.paused {
			names = append(names, name)
		}
	}
	return names
}
