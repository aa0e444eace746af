package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
)

// Capacities of the rings into the duty.
const (
	digestRing = 512
	wishRing   = 1024
)

// Options are the parts of a service.
type Options struct {
	// Config names the instance and its seeds. An empty gossip address of Self
	// is filled in with the address listened on.
	Config decision.Config
	// Listen is the UDP address, "ip:port".
	Listen string
	Codec  *gossip.Codec
	Seed   uint64
	Logger zerolog.Logger
}

// Service is the membership of one instance. Its methods are safe for
// concurrent use.
type Service struct {
	config    decision.Config
	transport *gossip.Transport
	table     *decision.Table
	logger    zerolog.Logger
	digests   *ring.Ring[decision.Received]
	wishes    *ring.Ring[decision.Input]
	view      atomic.Pointer[decision.Snapshot]
	counters  atomic.Pointer[decision.Counters]
	observers []Observer
}

// Observer is told of every change of the view, in the duty's goroutine. It
// must not block.
type Observer func(view *decision.Snapshot, changes []decision.Change)

// New opens the UDP address. Close must be called after the duty ended.
func New(options Options) (*Service, error) {
	s := &Service{
		config:  options.Config.WithDefaults(),
		logger:  options.Logger,
		digests: ring.New[decision.Received]("digests", digestRing),
		wishes:  ring.New[decision.Input]("membership wishes", wishRing),
	}
	var err error
	s.transport, err = gossip.Listen(options.Listen, options.Codec, func(digest decision.Digest, bytes int) {
		s.digests.Offer(decision.Received{Digest: digest, Bytes: bytes})
	})
	if err != nil {
		return nil, err
	}
	if s.config.Self.Gossip == "" {
		s.config.Self.Gossip = s.transport.Address()
	}
	s.table = decision.New(s.config, rand.New(rand.NewPCG(options.Seed, s.config.Incarnation)))
	s.publish(time.Now())
	return s, nil
}

// Observe adds an observer. It must be called before Run.
func (s *Service) Observe(observer Observer) { s.observers = append(s.observers, observer) }

// Address returns the UDP address listened on.
func (s *Service) Address() string { return s.transport.Address() }

// View returns the current view. It must not be changed.
func (s *Service) View() *decision.Snapshot { return s.view.Load() }

// Run drives the decisions until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.step(decision.Tick{})
		case received := <-s.digests.Items():
			s.step(received)
		case wish := <-s.wishes.Items():
			s.step(wish)
		}
	}
}

// Close closes the UDP address.
func (s *Service) Close() error { return s.transport.Close() }

// step feeds one input to the decisions and carries out the output.
func (s *Service) step(input decision.Input) {
	now := time.Now()
	output := s.table.Step(now, input)
	for _, send := range output.Sends {
		s.transport.Send(send.Address, send.Digest)
	}
	for _, change := range output.Changes {
		s.log(change)
	}
	if !s.table.Changed() {
		s.countOnTick(input)
		return
	}
	view := s.publish(now)
	for _, observer := range s.observers {
		observer(view, output.Changes)
	}
}

// countOnTick keeps the counters of the dump fresh while nothing changes.
func (s *Service) countOnTick(input decision.Input) {
	if _, tick := input.(decision.Tick); tick {
		counters := s.table.Counters()
		s.counters.Store(&counters)
	}
}

func (s *Service) publish(now time.Time) *decision.Snapshot {
	view := s.table.Snapshot(now)
	s.view.Store(view)
	counters := s.table.Counters()
	s.counters.Store(&counters)
	return view
}

func (s *Service) log(change decision.Change) {
	switch change.Kind {
	case decision.ChangeHealth, decision.ChangeRemoved:
		definition := event.MemberChanged
		if change.Kind == decision.ChangeRemoved {
			definition = event.MemberRemoved
		}
		event.Log(s.logger, definition).
			Str("member", change.Record.Peer.Instance).
			Str("health", change.Record.Health.String()).
			Bool("leaving", change.Record.Leaving).
			Uint64("incarnation", change.Record.Incarnation).
			Send()
	case decision.ChangeNotice:
		event.Log(s.logger, event.NoticeChanged).
			Str("kind", change.Notice.Kind.String()).
			Str("subject", change.Notice.Name).
			Bool("withdrawn", change.Notice.Withdrawn).
			Time("expires", change.Notice.Expires).
			Str("origin", change.Notice.Origin).
			Send()
	case decision.ChangeRefuted:
		event.Log(s.logger, event.MemberRefuted).Uint64("incarnation", change.Record.Incarnation).Send()
	case decision.ChangeResumed:
		event.Log(s.logger, event.InstancePaused).Send()
	case decision.ChangeRevision, decision.ChangeReport:
	}
}
