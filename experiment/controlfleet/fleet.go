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

// One-way delays of the links and of the platform, and the loss of datagrams.
const (
	localDelay    = time.Millisecond
	remoteDelay   = 30 * time.Millisecond
	maxJitter     = 2 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	transferDelay = 5 * time.Millisecond // transfer of a configuration
	datagramLoss  = 0.01                 // fraction
)

// Centre is one data centre of a fleet.
type Centre struct {
	Name      string
	Region    string
	Instances int
}

// Fleet simulates a number of instances and the platform. It is not safe for
// concurrent use.
type Fleet struct {
	// Instances holds the instances by name, Names their names in order of creation.
	Instances map[string]*Instance
	Names     []string
	// PlatformUnavailable makes the platform unavailable to every instance.
	PlatformUnavailable bool
	// CutOff is true for data centres that reach neither others nor the platform.
	CutOff map[string]bool
	// AcceptedRevision is the newest revision at the platform.
	AcceptedRevision uint64
	// PlatformReads counts the calls to the platform, watches included.
	PlatformReads int

	net    *virtualnet.Network[any]
	random *rand.Rand
}

// answer is the answer to a call, in transit.
type answer struct{ input configspread.Input }

// tick is the periodic timer of an instance.
type tick struct{}

// New returns a fleet whose instances start within a second of each other. Each
// starts with the first instance of every data centre as seeds and with the
// platform's list of its own data centre.
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

// Now returns the current virtual time.
func (f *Fleet) Now() time.Time { return f.net.Now() }

// Random returns the fleet's random source.
func (f *Fleet) Random() *rand.Rand { return f.random }

// Reaches reports whether an instance reaches another one or, if to is empty, the
// platform.
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
	delay := localDelay
	if f.Instances[from].Peer.DataCentre != f.Instances[to].Peer.DataCentre {
		delay = remoteDelay
	}
	return delay + time.Duration(f.random.Int64N(int64(maxJitter)))
}

// Run advances virtual time by the span and delivers what is due meanwhile.
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
		f.stepConfiguration(instance, configspread.Tick{})
	case answer:
		f.stepConfiguration(instance, input.input)
	case membership.Input:
		f.StepMembership(instance, input)
	}
}

// StepMembership passes one input to an instance's membership table, sends the resulting
// digests, and reports a changed table to the instance's configuration.
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
		f.stepConfiguration(instance, members(instance.view))
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
