package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

const (
	tickInterval  = 100 * time.Millisecond
	inputRingSize = 64
)

// Members gives access to the membership. *membership.Service of package control/membership
// implements it.
type Members interface {
	// View returns the current view, a new pointer after every change.
	View() *membership.Snapshot
	// SetRevision announces the in-force revision of this instance to its peers.
	SetRevision(revision uint64)
}

// PeerSource fetches revisions newer than the given one from the instance at an address.
// *peer.Client implements it.
type PeerSource interface {
	Configuration(ctx context.Context, address string, revision uint64) (*peerpb.ConfigurationReply, error)
}

// Options holds the parameters and dependencies of a follower. Without Members and Peers it
// fetches from the platform only.
type Options struct {
	Instance   string
	DataCentre string
	Store      objectstore.Store
	Members    Members
	Peers      PeerSource
	Seed       uint64
	Logger     zerolog.Logger
}

// Follower keeps the in-force configuration up to date and implements
// serving.ConfigurationSource. The in-force revision never decreases. A Follower is safe for
// concurrent use.
type Follower struct {
	options Options
	machine *configspread.Machine
	inputs  *ring.Ring[configspread.Input]
	inForce atomic.Pointer[Copy]
	status  atomic.Pointer[Status]
	calls   sync.WaitGroup
	// fetched is the result of the running fetch. The goroutine of Run reads it only after the
	// Fetched input.
	fetched   atomic.Pointer[Copy]
	lastView  *membership.Snapshot
	stopWatch context.CancelFunc
	mu        sync.Mutex
	history   history
	replies   replyCounters
}

// NewFollower returns a follower without a configuration.
func NewFollower(options Options) *Follower {
	config := configspread.Config{Instance: options.Instance, DataCentre: options.DataCentre}
	f := &Follower{
		options: options,
		machine: configspread.New(config, rand.New(rand.NewPCG(options.Seed, uint64(len(options.Instance))))),
		inputs:  ring.New[configspread.Input]("configuration", inputRingSize),
	}
	f.status.Store(&Status{})
	return f
}

// Current implements serving.ConfigurationSource.
func (f *Follower) Current() *estate.Configuration {
	if inForce := f.inForce.Load(); inForce != nil {
		return inForce.configuration
	}
	return nil
}

// SetPeers sets the membership and the access to the peers. It must be called before Run.
func (f *Follower) SetPeers(members Members, peers PeerSource) {
	f.options.Members, f.options.Peers = members, peers
}

// Observe triggers a decision step when a member's revision or state changes, so that the
// follower doesn't wait for the next tick. It is an Observer of package control/membership.
func (f *Follower) Observe(_ *membership.Snapshot, changes []membership.Change) {
	for _, change := range changes {
		if change.Kind == membership.ChangeRevision || change.Kind == membership.ChangeHealth {
			f.inputs.Offer(configspread.Tick{})
			return
		}
	}
}

// Run drives the decisions until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.step(ctx, f.membersInput())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.stepIfMembersChanged(ctx)
			f.step(ctx, configspread.Tick{})
		case input := <-f.inputs.Items():
			f.stepIfMembersChanged(ctx)
			f.step(ctx, input)
		}
	}
}

// stepIfMembersChanged passes the view to the decisions if it changed since the last time.
func (f *Follower) stepIfMembersChanged(ctx context.Context) {
	if f.options.Members == nil || f.options.Members.View() == f.lastView {
		return
	}
	f.step(ctx, f.membersInput())
}

// membersInput returns the live instances of the current view as an input.
func (f *Follower) membersInput() configspread.Members {
	var input configspread.Members
	if f.options.Members == nil {
		return input
	}
	f.lastView = f.options.Members.View()
	for _, record := range f.lastView.Members {
		if record.Live() {
			input.Peers = append(input.Peers, configspread.Peer{
				Instance:   record.Peer.Instance,
				DataCentre: record.Peer.DataCentre,
				Revision:   record.Revision,
			})
		}
	}
	return input
}

// step passes one input to the decisions and executes the resulting actions.
func (f *Follower) step(ctx context.Context, input configspread.Input) {
	for _, action := range f.machine.Step(time.Now(), input) {
		switch action.Kind {
		case configspread.ActionApply:
			f.apply()
		case configspread.ActionWatch:
			f.watch(ctx, action.Revision)
		case configspread.ActionStopWatch:
			f.stopWatch()
		case configspread.ActionFetch:
			f.fetch(ctx, action.Source)
		}
	}
	f.publishStatus()
}

// apply puts the fetched copy in force and announces it.
func (f *Follower) apply() {
	next := f.fetched.Load()
	f.inForce.Store(next)
	f.mu.Lock()
	f.history.add(next)
	f.mu.Unlock()
	if f.options.Members != nil {
		f.options.Members.SetRevision(next.revision)
	}
	event.Log(f.options.Logger, event.ConfigurationInForce).Uint64("revision", next.revision).Send()
}

// watch starts a goroutine that waits for a newer head in the platform.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithCancel(ctx)
	f.stopWatch = cancel
	f.calls.Go(func() {
		defer cancel()
		changes, err := f.options.Store.Watch(ctx, configstore.HeadKey, revision)
		ended := configspread.WatchEnded{Failed: err != nil}
		for _, change := range changes {
			ended.Revision = max(ended.Revision, change.Version)
		}
		f.deliver(ctx, ended)
	})
}

// fetch starts a goroutine that fetches a copy.
func (f *Follower) fetch(ctx context.Context, source string) {
	f.calls.Go(func() {
		next, err := f.fetchFrom(ctx, source)
		if err != nil {
			event.Log(f.options.Logger, event.ConfigurationFetchFailed).Str("source", source).Err(err).Send()
			f.deliver(ctx, configspread.Fetched{Failed: true})
			return
		}
		f.fetched.Store(next)
		f.deliver(ctx, configspread.Fetched{Revision: next.revision})
	})
}

// deliver passes a result to Run. While the ring is full it retries every tickInterval: results
// are never dropped.
func (f *Follower) deliver(ctx context.Context, input configspread.Input) {
	for !f.inputs.Offer(input) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// fetchFrom returns a verified copy from the instance named source, or from the platform when
// source is empty. It returns the in-force copy when the source has no newer one.
func (f *Follower) fetchFrom(ctx context.Context, source string) (*Copy, error) {
	if source == "" {
		return f.fetchFromPlatform(ctx)
	}
	record, ok := f.options.Members.View().Record(source)
	if !ok || f.options.Peers == nil {
		return nil, fault.New(fault.PeerUnreachable, "instance "+source+" is not a known peer")
	}
	inForce := f.inForce.Load()
	revision := uint64(0)
	if inForce != nil {
		revision = inForce.revision
	}
	reply, err := f.options.Peers.Configuration(ctx, record.Peer.Peers, revision)
	if err != nil {
		return nil, err
	}
	if inForce != nil && reply.GetRevision() <= revision {
		return inForce, nil
	}
	return Merge(inForce, reply)
}

// fetchFromPlatform reads the head and those chunks that the in-force copy lacks.
func (f *Follower) fetchFromPlatform(ctx context.Context) (*Copy, error) {
	object, err := f.options.Store.Get(ctx, configstore.HeadKey)
	if err != nil {
		return nil, err
	}
	inForce := f.inForce.Load()
	if inForce != nil && object.Version <= inForce.revision {
		return inForce, nil
	}
	head, err := configstore.DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte)
	for _, chunk := range head.Chunks {
		if inForce != nil && inForce.values[chunk.Hash] != nil {
			values[chunk.Hash] = inForce.values[chunk.Hash]
			continue
		}
		body, err := f.options.Store.Get(ctx, configstore.ChunkPrefix+chunk.Hash)
		if err != nil {
			return nil, err
		}
		values[chunk.Hash] = body.Value
	}
	return NewCopy(object.Version, head.Chunks, values)
}
