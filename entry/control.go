package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wisteriahaven/wisteriahaven/control/configuration"
	"github.com/wisteriahaven/wisteriahaven/control/membership"
	"github.com/wisteriahaven/wisteriahaven/decision/budget"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/objectstore/budgeted"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httplist"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
	"github.com/wisteriahaven/wisteriahaven/transport/peer"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// connectionSweep is the time between two closings of idle connections.
const connectionSweep = 10 * time.Second

// control joins this instance with the others.
type control struct {
	members *membership.Service
	list    *membership.ListReader
	server  *peer.Server
	client  *peer.Client
}

// newGate returns the budget of the platform calls.
func newGate(s settings.Settings, seed uint64) *budgeted.Gate {
	return budgeted.NewGate(budget.Config{
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		WritesPerSecond: s.Platform.WritesPerSecond,
	}, seed)
}

// newFollower returns the duty that keeps the configuration up to date.
func (e *Entry) newFollower() *configuration.Follower {
	return configuration.NewFollower(configuration.Options{
		Instance:   e.settings.Instance,
		DataCentre: e.settings.DataCentre,
		Store:      e.store,
		Seed:       e.seed(),
		Logger:     e.logger,
	})
}

// seed returns a value that differs between instances and their runs.
func (e *Entry) seed() uint64 { return uint64(e.started.UnixNano()) }

// openControl opens the addresses for other instances and joins the duties to
// them.
func (e *Entry) openControl() error {
	ring, err := peerauth.NewKeyRing(e.settings.Keys.Peer)
	if err != nil {
		return err
	}
	c := &control{client: peer.NewClient(ring)}
	c.server, err = peer.Listen(e.settings.Listen.Peers, ring, e.peerHandlers())
	if err != nil {
		return err
	}
	c.members, err = membership.New(membership.Options{
		Config: decision.Config{
			Self:        e.self(c.server.Address()),
			Incarnation: uint64(e.started.UnixMilli()),
			Seeds:       e.settings.Seeds,
			Period:      e.settings.Intervals.Gossip.Std(),
		},
		Listen: e.settings.Listen.Gossip,
		Codec:  gossip.NewCodec(ring),
		Seed:   e.seed(),
		Logger: e.logger,
	})
	if err != nil {
		c.server.Close()
		return err
	}
	list := budgetedList{list: httplist.New(e.settings.Platform.InstanceList), gate: e.gate}
	c.list = membership.NewListReader(c.members, list, e.logger)
	c.members.Observe(e.follower.Observe)
	c.members.Observe(e.applyView)
	e.follower.SetPeers(c.members, c.client)
	e.control = c
	return nil
}

// self returns how the others know this instance.
func (e *Entry) self(peers string) settings.Peer {
	return settings.Peer{
		Instance:   e.settings.Instance,
		DataCentre: e.settings.DataCentre,
		Region:     e.settings.Region,
		Peers:      peers,
		Callers:    e.addresses.Callers,
		Operators:  e.addresses.Operators,
	}
}

// startControl starts the duties between instances.
func (e *Entry) startControl() {
	c := e.control
	e.duties.Go("membership", c.members.Run)
	e.duties.Go("instance list", c.list.Run)
	e.duties.Go("introductions", membership.NewRecordFetcher(c.members, c.client).Run)
	e.duties.Go("peer connections", c.sweep)
	if e.limits != nil {
		e.duties.Go("limit reports", e.limits.Run)
	}
	e.duties.Go("suspicions", func(ctx context.Context) { e.guard.Exchange(ctx, suspectPeers{entry: e}) })
	e.serve.Go("peers", c.server.Serve)
}

// sweep closes idle connections until the context ends.
func (c *control) sweep(ctx context.Context) {
	ticker := time.NewTicker(connectionSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.client.CloseIdle()
		}
	}
}

// closeControl closes the addresses after the duties ended.
func (e *Entry) closeControl() {
	if e.control == nil {
		return
	}
	e.control.client.Close()
	e.control.server.Close()
	_ = e.control.members.Close()
}

// applyView hands the leaving marks and the number of live instances to the
// routing.
func (e *Entry) applyView(view *decision.Snapshot, _ []decision.Change) {
	var leaving []string
	for _, notice := range view.Notices {
		if notice.Kind == decision.NoticeBackendServer {
			leaving = append(leaving, notice.Name)
		}
	}
	e.router.SetLeaving(leaving)
	e.hearMarks(view)
	e.router.SetInstanceCount(liveInstances(view))
}

// liveInstances counts the known live instances of all data centres, which
// share the backend servers, this one included.
func liveInstances(view *decision.Snapshot) int {
	count := 1
	for _, record := range view.Members {
		if record.Live() {
			count++
		}
	}
	return count
}

// peerHandlers answers the calls of other instances.
func (e *Entry) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Configuration: e.follower.Reply,
		CommitClaims:  e.commitClaims,
		Limits:        e.receiveLimits,
		Members:       func(ctx context.Context) ([]byte, error) { return e.control.members.EncodedRecords(ctx) },
		Suspicions:    e.guard.HandleDigest,
		Dump: func(context.Context) ([]byte, error) {
			return encoded(e.Dump(operatorapi.DefaultDecisions))
		},
		Explain: func(_ context.Context, subject string) ([]byte, error) {
			return encoded(e.recorder.Explain(subject))
		},
	}
}

func encoded(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "entry", "encode answer to a peer", err)
	}
	return body, nil
}

// dumpControl adds the state of membership, configuration and budgets.
func (e *Entry) dumpControl(state *dump.Instance) {
	status, config := e.gate.Status(), e.gate.Config()
	state.Budgets = append(state.Budgets, dump.Budget{
		Name:      "platform reads and watches",
		PerSecond: config.ReadsPerSecond,
		Used:      status.Reads + status.Watches,
		Refused:   status.Refused,
		Failed:    status.Failed,
		Open:      status.Open,
	}, dump.Budget{
		Name:      "platform writes",
		PerSecond: config.WritesPerSecond,
		Used:      status.Writes,
		Open:      status.Open,
	})
	state.Sections = append(state.Sections,
		dump.NewSection("platform_budget", status),
		dump.NewSection("configuration", e.follower.Status()),
		dump.NewSection("calls", e.calls.Status()),
		dump.NewSection("quarantines", e.guard.Quarantines()),
	)
	if e.control == nil {
		return
	}
	for _, record := range e.control.members.View().Members {
		state.Members = append(state.Members, dumpMember(record))
	}
	state.Sections = append(state.Sections,
		dump.NewSection("membership", e.control.members.Status()),
		dump.NewSection("peer_calls", e.control.client.Status()),
		dump.NewSection("peer_connections", e.control.server.Status()),
	)
}

func dumpMember(record decision.Record) dump.Member {
	state := record.Health.String()
	if record.Leaving && record.Live() {
		state = "leaving"
	}
	return dump.Member{
		Instance:    record.Peer.Instance,
		DataCentre:  record.Peer.DataCentre,
		Region:      record.Peer.Region,
		State:       state,
		Incarnation: record.Incarnation,
		Revision:    record.Revision,
	}
}

// budgetedList reads the instance list within the budget of the platform.
type budgetedList struct {
	list *httplist.Client
	gate *budgeted.Gate
}

// List implements membership.InstanceList.
func (b budgetedList) List(ctx context.Context) (instances []objectstore.Instance, err error) {
	err = b.gate.Do(ctx, budget.Read, func(ctx context.Context) (err error) {
		instances, err = b.list.List(ctx)
		return err
	})
	return instances, err
}
