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
	tickInterval = 100 * time.Millisecond
	inputRing    = 64
)

// Members tells who else is there. *membership.Service of package
// control/membership implements it.
type Members interface {
	View() *membership.Snapshot
	// SetRevision announces the revision in force here.
	SetRevision(revision uint64)
}

// PeerSource reads the configuration from the instance at an address.
// *peer.Client implements it.
type PeerSource interface {
	Configuration(ctx context.Context, address string, revision uint64) (*peerpb.ConfigurationReply, error)
}

// Options are the parts of a follower. Without Members and Peers it reads from
// the platform alone.
type Options struct {
	Instance   string
	DataCentre string
	Store      objectstore.Store
	Members    Members
	Peers      PeerSource
	Seed       uint64
	Logger     zerolog.Logger
}

// Follower keeps the configuration in force and implements
// serving.ConfigurationSource. Revisions never go back. It is safe for
// concurrent use.
type Follower struct {
	options Options
	machine *configspread.Machine
	inputs  *ring.Ring[configspread.Input]
	held    atomic.Pointer[Copy]
	status  atomic.Pointer[Status]
	work    sync.WaitGroup
	// fetched is the result of the fetch under way, owned by the duty once the
	// Fetched input arrived.
	fetched   atomic.Pointer[Copy]
	seen      *membership.Snapshot
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
		inputs:  ring.New[configspread.Input]("configuration", inputRing),
	}
	f.status.Store(&Status{})
	return f
}

// Current implements serving.ConfigurationSource.
func (f *Follower) Current() *estate.Configuration {
	if held := f.held.Load(); held != nil {
		return held.configuration
	}
	return nil
}

// Join adds the other instances. It must be called before Run.
func (f *Follower) SetPeers(members Members, peers PeerSource) {
	f.options.Members, f.options.Peers = members, peers
}

// Observe reacts at once to a change of the view. It has the signature of an
// observer of control/membership.
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
	defer f.work.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.step(ctx, f.members())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.stepMembers(ctx)
			f.step(ctx, configspread.Tick{})
		case input := <-f.inputs.Items():
			f.stepMembers(ctx)
			f.step(ctx, input)
		}
	}
}

// stepMembers feeds the view if it changed.
func (f *Follower) stepMembers(ctx context.Context) {
	if f.options.Members == nil || f.options.Members.View() == f.seen {
		return
	}
	f.step(ctx, f.members())
}

// members returns the live instances of the view.
func (f *Follower) members() configspread.Members {
	var in configspread.Members
	if f.options.Members == nil {
		return in
	}
	f.seen = f.options.Members.View()
	for _, record := range f.seen.Members {
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

// step feeds one input to the decisions and carries out the actions.
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
	f.held.Store(next)
	f.mu.Lock()
	f.history.add(next)
	f.mu.Unlock()
	if f.options.Members != nil {
		f.options.Members.SetRevision(next.revision)
	}
	event.Log(f.options.Logger, event.ConfigurationInForce).Uint64("revision", next.revision).Send()
}

// watch waits at the platform in a goroutine of its own.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithCancel(ctx)
	f.stopWatch = cancel
	f.work.Go(func() {
		defer cancel()
		changes, err := f.options.Store.Watch(ctx, configstore.HeadKey, revision)
		ended := configspread.WatchEnded{Failed: err != nil}
		for _, change := range changes {
			ended.Revision = max(ended.Revision, change.Version)
		}
		f.deliver(ctx, ended)
	})
}

// fetch reads a copy in a goroutine of its own.
func (f *Follower) fetch(ctx context.Context, source string) {
	f.work.Go(func() {
		next, err := f.read(ctx, source)
		if err != nil {
			event.Log(f.options.Logger, event.ConfigurationFetchFailed).Str("source", source).Err(err).Send()
			f.deliver(ctx, configspread.Fetched{Failed: true})
			return
		}
		f.fetched.Store(next)
		f.deliver(ctx, configspread.Fetched{Revision: next.revision})
	})
}

// deliver hands a result to the duty; results are never dropped.
func (f *Follower) deliver(ctx context.Context, input configspread.Input) {
	for !f.inputs.Offer(input) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// read returns a verified copy from an instance, or from the platform when the
// source is empty.
func (f *Follower) read(ctx context.Context, source string) (*Copy, error) {
	if source == "" {
		return f.readPlatform(ctx)
	}
	record, ok := f.options.Members.View().Record(source)
	if !ok || f.options.Peers == nil {
		return nil, fault.New(fault.PeerUnreachable, "the instance "+source+" is not known")
	}
	held := f.held.Load()
	revision := uint64(0)
	if held != nil {
		revision = held.revision
	}
	reply, err := f.options.Peers.Configuration(ctx, record.Peer.Peers, revision)
	if err != nil {
		return nil, err
	}
	if held != nil && reply.GetRevision() <= revision {
		return held, nil
	}
	return Merge(held, reply)
}

// readPlatform reads the head and the chunks that are not held yet.
func (f *Follower) readPlatform(ctx context.Context) (*Copy, error) {
	object, err := f.options.Store.Get(ctx, configstore.HeadKey)
	if err != nil {
		return nil, err
	}
	held := f.held.Load()
	if held != nil && object.Version <= held.revision {
		return held, nil
	}
	head, err := configstore.DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte)
	for _, chunk := range head.Chunks {
		if held != nil && held.values[chunk.Hash] != nil {
			values[chunk.Hash] = held.values[chunk.Hash]
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
