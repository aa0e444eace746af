package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/control/configuration"
	"github.com/wisteriahaven/wisteriahaven/control/limits"
	"github.com/wisteriahaven/wisteriahaven/control/orders"
	decision "github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	decisionoverflow "github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/objectstore/budgeted"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/serving/admission"
	"github.com/wisteriahaven/wisteriahaven/serving/call"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
	"github.com/wisteriahaven/wisteriahaven/serving/generation"
	"github.com/wisteriahaven/wisteriahaven/serving/guard"
	"github.com/wisteriahaven/wisteriahaven/serving/inflight"
	"github.com/wisteriahaven/wisteriahaven/serving/overflow"
	"github.com/wisteriahaven/wisteriahaven/serving/routing"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// keptDecisions bounds the decisions kept for explanations.
const keptDecisions = 65536

// Entry is one running entry instance.
type Entry struct {
	settings settings.Settings
	logger   zerolog.Logger
	metrics  metrics.Registry
	duties   *duty.Group
	serve    *duty.Group
	gate     *budgeted.Gate
	store    objectstore.Store
	// control is nil until Start.
	control  *control
	follower *configuration.Follower
	recorder *explain.Recorder
	router   *routing.Router
	admitter *admission.Controller
	// limits is nil when limits are divided equally.
	limits  *limits.Exchange
	callers *caller.Server
	// invalid is the error of settings that can't be used.
	invalid   error
	generator *generation.Generator
	calls     *call.Runner
	guard     *guard.Guard
	tracker   *inflight.Tracker
	marks     *operator.LocalDrains
	// effective is the configuration in force with the local marks.
	effective *operator.EffectiveSource
	operators *operator.Server
	orders    *orders.Controller
	addresses Addresses
	started   time.Time
	stopping  atomic.Bool
}

// Addresses are the addresses the instance listens on.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// New builds an entry instance that does not run yet.
func New(s settings.Settings, logger zerolog.Logger) *Entry {
	logger = logger.With().Str("instance", s.Instance).Logger()
	e := &Entry{
		settings: s,
		logger:   logger,
		metrics:  metrics.NewRegistry(),
		duties:   duty.NewGroup(context.Background(), logger),
		serve:    duty.NewGroup(context.Background(), logger),
		recorder: explain.NewRecorder(keptDecisions),
		marks:    operator.NewLocalDrains(),
		started:  time.Now(),
	}
	e.gate = newGate(s, e.seed())
	e.store = budgeted.NewStore(httpstore.New(s.Platform.ObjectAPI), e.gate)
	e.follower = e.newFollower()
	e.effective = operator.NewEffectiveSource(e.follower, e.marks, time.Now)
	e.tracker = inflight.NewTracker(e.metrics, time.Now)
	e.assemble()
	return e
}

// assemble joins the parts of the serving path.
func (e *Entry) assemble() {
	router, admitter := e.assembleChoices()
	e.guard = guard.New(e.settings.Instance, quarantine.DefaultSettings(), e.logger)
	recorder := e.tracker.Recorder(e.recorder)
	recordedRouter := e.tracker.Router(router, recorder)
	e.generator, e.invalid = e.newGenerator(generation.Parts{
		Router:   recordedRouter,
		Admitter: admitter,
		Guard:    e.guard,
		Recorder: recorder,
	})
	e.calls = call.New(call.Parts{
		Instance:      e.settings.Instance,
		Configuration: e.follower,
		Router:        recordedRouter,
		Admitter:      admitter,
		Recorder:      recorder,
		Guard:         e.guard,
		Services:      service.NewClient(),
		Store:         e.store,
		Instances:     links{e},
		Forwarder:     links{e}.forwarder(),
		Logger:        e.logger,
		Call:          decision.DefaultSettings(),
		Claim:         claim.DefaultSettings(),
	})
	e.callers = caller.NewServer(e.callerOptions(), caller.Dependencies{
		Authenticator: admitter,
		Configuration: e.follower,
		Generator:     e.tracker.Generator(e.generator, recorder),
		ServiceCaller: e.tracker.CallRunner(e.calls, recorder),
		Overflow:      overflow.New(e.settings.DataCentre, e.settings.Region, router, e.overflowPeers),
	}, e.logger)
	e.orders = e.newOrdersKeeper()
	e.operators = newOperators(e)
}

// overflowPeers returns the entry instances that may take requests over: the
// known ones that are not drained.
func (e *Entry) overflowPeers() []decisionoverflow.Peer {
	current := e.effective.Current()
	var peers []decisionoverflow.Peer
	for _, peer := range e.peers() {
		if current != nil && current.DrainsInstance(peer.Instance, peer.DataCentre) {
			continue
		}
		peers = append(peers, decisionoverflow.Peer{
			Instance: peer.Instance, DataCentre: peer.DataCentre, Region: peer.Region, Address: peer.Callers,
		})
	}
	return peers
}

// assembleChoices returns what decides who is served and where.
func (e *Entry) assembleChoices() (*routing.Router, *admission.Controller) {
	place := routing.Place{DataCentre: e.settings.DataCentre, Region: e.settings.Region}
	e.router = routing.New(e.effective, routing.Options{Instance: e.settings.Instance, Place: place})
	others := make([]string, 0, len(e.settings.Seeds))
	for _, seed := range e.settings.Seeds {
		if seed.Instance != e.settings.Instance {
			others = append(others, seed.Instance)
		}
	}
	e.router.SetInstanceCount(len(others) + 1)
	e.limits = e.newLimitExchange()
	e.admitter = admission.New(e.follower, e.router, e.limitExchange(), admission.Options{
		Instance:   e.settings.Instance,
		DataCentre: e.settings.DataCentre,
		Others:     others,
		Recorder:   e.recorder,
	})
	return e.router, e.admitter
}

func (e *Entry) callerOptions() caller.Options {
	return caller.Options{
		MaxBodyBytes:   e.settings.Limits.BodyBytes,
		MaxHeaderBytes: e.settings.Limits.HeaderBytes,
		IdleTimeout:    e.settings.Limits.IdleTimeout.Std(),
	}
}

// Start listens on the instance's addresses and starts its duties.
func (e *Entry) Start() error {
	if e.invalid != nil {
		return e.invalid
	}
	callers, err := net.Listen("tcp", e.settings.Listen.Callers)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, "entry", "listen.callers", err)
	}
	operators, err := net.Listen("tcp", e.settings.Listen.Operators)
	if err != nil {
		_ = callers.Close()
		return fault.Wrap(fault.SettingsInvalid, "entry", "listen.operators", err)
	}
	e.addresses = Addresses{Callers: callers.Addr().String(), Operators: operators.Addr().String()}
	if err := e.openControl(); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return err
	}
	e.startControl()
	e.duties.Go("configuration", e.follower.Run)
	e.duties.Go("local marks", e.operators.Executor().WriteLocalDrains)
	e.duties.Go("orders", e.orders.Run)
	e.duties.Go("admission", e.admitter.Run)
	e.duties.Go("load reports", routing.NewPoller(e.router, e.settings.Intervals.LoadReport.Std(), e.logger).Run)
	e.serve.Go("callers", func(context.Context) { _ = e.callers.Serve(callers) })
	e.serve.Go("operators", func(context.Context) { _ = e.operators.Serve(operators) })
	event.Log(e.logger, event.ProcessStarted).
		Str("callers", e.addresses.Callers).
		Str("operators", e.addresses.Operators).
		Send()
	return nil
}

// Addresses returns the addresses the instance listens on.
func (e *Entry) Addresses() Addresses { return e.addresses }

// Ready reports whether the instance can serve and is not drained.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.follower.Current() != nil && e.admitter.Ready() && !e.drained()
}

// drained reports whether the instance or its data centre is drained: it still
// serves what reaches it, and is not ready for more.
func (e *Entry) drained() bool {
	current := e.effective.Current()
	return current != nil && current.DrainsInstance(e.settings.Instance, e.settings.DataCentre)
}

// Stop is a planned stop: the instance becomes unready, still serves for the
// unready interval, closes its listeners, lets every running request finish and
// ends. When the context ends first,
// the remaining requests are cut.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	if e.control != nil {
		e.control.members.Leave()
	}
	event.Log(e.logger, event.ProcessStopping).Int("in_flight", e.callers.InFlight()).Send()
	select {
	case <-ctx.Done():
	case <-time.After(e.settings.Intervals.UnreadyTime.Std()):
	}
	err := errors.Join(e.callers.Shutdown(ctx), e.calls.Drain(ctx))
	e.close()
	event.Log(e.logger, event.ProcessStopped).Send()
	return err
}

// Abort ends the instance at once, as a crash would for its callers.
func (e *Entry) Abort() {
	e.stopping.Store(true)
	e.callers.Abort()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.callers.Shutdown(ctx)
	e.close()
}

// close ends the operator listener and every duty.
func (e *Entry) close() {
	e.callers.Abort()
	e.calls.Close()
	e.generator.Close()
	_ = e.operators.Shutdown()
	e.duties.Stop()
	e.serve.Stop()
	e.closeControl()
}
