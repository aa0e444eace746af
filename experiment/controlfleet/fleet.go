package controlfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/internal/virtualnet"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Delays of the links, one way, and of the platform.
const (
	nearDelay     = time.Millisecond
	farDelay      = 30 * time.Millisecond
	jitter        = 2 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	bodyDelay     = 5 * time.Millisecond
	datagramLoss  = 0.01
)

// Centre is one data centre of a fleet.
type Centre struct {
	Name      string
	Region    string
	Instances int
}

// Fleet is a number of instances with the platform. It is driven by one
// goroutine.
type Fleet struct {
	Instances map[string]*Instance
	Names     []string
	// PlatformDown stops the platform for everybody.
	PlatformUnavailable bool
	// CutOff names data centres that reach neither others nor the platform.
	CutOff map[string]bool
	// Accepted is the newest revision at the platform.
	AcceptedRevision uint64
	// PlatformReads counts calls to the platform, watches included.
	PlatformReads int

	net    *virtualnet.Network[any]
	random *rand.Rand
}

// message is a call's answer on its way.
type answer struct{ input configspread.Input }

// tick is a timer of an instance.
type tick struct{}

// New returns a fleet whose instances start within a second of each other and
// know the first instance of every data centre and the platform's list of
// their own.
func New(centres []Centre, seed uint64) *Fleet {
	f := &Fleet{
		Instances: make(map[string]*Instance),
		CutOff:    make(map[string]bool),
		random:    rand.New(rand.NewPCG(seed, 11)),
	}
	f.net = virtualnet.New[any](time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), f.delay)
	var seeds []settings.Peer
	for _, centre := range centres {
		seeds = append(seeds, peerOf(centre, 0))
	}
	for _, centre := range centres {
		var listed []settings.Peer
		for index := range centre.Instances {
			listed = append(listed, peerOf(centre, index))
		}
		for _, peer := range listed {
			f.add(peer, seeds, listed)
		}
	}
	return f
}

func peerOf(centre Centre, index int) settings.Peer {
	return settings.Peer{
		Instance:   fmt.Sprintf("%s-entry-%03d", centre.Name, index),
		DataCentre: centre.Name,
		Region:     centre.Region,
		Gossip:     fmt.Sprintf("10.0.%d.%d:7401", index/250, index%250),
		Peers:      "10.0.0.1:7402",
		Callers:    "10.0.0.1:7403",
		Operators:  "10.0.0.1:7404",
	}
}

func (f *Fleet) add(peer settings.Peer, seeds, listed []settings.Peer) {
	config := membership.Config{Self: peer, Seeds: seeds, Incarnation: uint64(f.net.Now().UnixMilli())}
	spread := configspread.Config{Instance: peer.Instance, DataCentre: peer.DataCentre}
	instance := &Instance{
		Peer:          peer,
		Membership:    membership.New(config, rand.New(rand.NewPCG(f.random.Uint64(), 1))),
		Configuration: configspread.New(spread, rand.New(rand.NewPCG(f.random.Uint64(), 2))),
		InForceAt:     make(map[uint64]time.Time),
	}
	instance.view = instance.Membership.Snapshot(f.net.Now())
	f.Instances[peer.Instance] = instance
	f.Names = append(f.Names, peer.Instance)
	first := f.net.Now().Add(time.Duration(f.random.Int64N(int64(time.Second))))
	f.net.At(first, peer.Instance, membership.Listed{Peers: listed})
	f.net.At(first, peer.Instance, tick{})
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.net.Now() }

// Random returns the fleet's source of random choices.
func (f *Fleet) Random() *rand.Rand { return f.random }

// Reaches reports whether two instances reach each other, or an instance the
// platform when to is empty.
func (f *Fleet) Reaches(from, to string) bool {
	source := f.Instances[from]
	if to == "" {
		return !f.PlatformUnavailable && !f.CutOff[source.Peer.DataCentre]
	}
	target := f.Instances[to]
	if target.Stopped {
		return false
	}
	if source.Peer.DataCentre == target.Peer.DataCentre {
		return true
	}
	return !f.CutOff[source.Peer.DataCentre] && !f.CutOff[target.Peer.DataCentre]
}

// delay implements virtualnet.Delay for datagrams.
func (f *Fleet) delay(from, to string) (time.Duration, bool) {
	if !f.Reaches(from, to) || f.random.Float64() < datagramLoss {
		return 0, false
	}
	return f.linkDelay(from, to), true
}

func (f *Fleet) linkDelay(from, to string) time.Duration {
	wait := nearDelay
	if f.Instances[from].Peer.DataCentre != f.Instances[to].Peer.DataCentre {
		wait = farDelay
	}
	return wait + time.Duration(f.random.Int64N(int64(jitter)))
}

// Run lets the span pass.
func (f *Fleet) Run(span time.Duration) {
	limit := f.net.Now().Add(span)
	for {
		message, ok := f.net.Next(limit)
		if !ok {
			return
		}
		f.deliver(f.Instances[message.To], message.Payload)
	}
}

func (f *Fleet) deliver(instance *Instance, payload any) {
	if _, timer := payload.(tick); timer {
		f.net.At(f.net.Now().Add(membership.DefaultTickInterval), instance.Peer.Instance, tick{})
	}
	if instance.Stopped {
		return
	}
	switch input := payload.(type) {
	case tick:
		f.StepMembership(instance, membership.Tick{})
		f.serveWatch(instance)
		f.spread(instance, configspread.Tick{})
	case answer:
		f.spread(instance, input.input)
	case membership.Input:
		f.StepMembership(instance, input)
	}
}

// Tell feeds one input to an instance's membership.
func (f *Fleet) StepMembership(instance *Instance, input membership.Input) {
	out := instance.Membership.Step(f.net.Now(), input)
	for _, send := range out.Sends {
		if _, known := f.Instances[send.Digest.To]; known {
			bytes := send.Digest.Size() + membership.DatagramHeaderBytes
			f.net.Send(instance.Peer.Instance, send.Digest.To, membership.Received{Digest: send.Digest, Bytes: bytes})
		}
	}
	if instance.Membership.Changed() {
		instance.view = instance.Membership.Snapshot(f.net.Now())
		f.spread(instance, members(instance.view))
	}
}

func members(view *membership.Snapshot) configspread.Members {
	var in configspread.Members
	for _, record := range view.Members {
		if record.Live() {
			in.Peers = append(in.Peers, configspread.Peer{
				Instance:   record.Peer.Instance,
				DataCentre: record.Peer.DataCentre,
				Revision:   record.Revision,
			})
		}
	}
	return in
}
