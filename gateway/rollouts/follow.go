package rollouts

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// watchPause is the time between two calls, retryPause the mean one after a failed call.
	watchPause = 100 * time.Millisecond
	retryPause = 500 * time.Millisecond
	// writerWait is the wait of each further writer.
	writerWait = 600 * time.Millisecond
)

// RunFollow follows the orders in the store until the context ends, while this instance is a relay.
func (m *Manager) RunFollow(ctx context.Context) {
	var position revision.Revision
	listed, failing := false, false
	for ctx.Err() == nil {
		if !m.options.Limits.Enabled() || m.options.Role() == discovery.Passive {
			listed = false
			pause.For(ctx, 2*watchPause)
			continue
		}
		entries, asOf, err := m.read(ctx, position, listed)
		switch {
		case err == nil:
			m.applyEntries(entries, asOf, !listed)
			position, listed, failing = asOf, true, false
			pause.For(ctx, watchPause)
		case fault.HasCode(err, fault.PlatformHistoryGone):
			listed = false
			pause.For(ctx, watchPause)
		default:
			if !failing {
				event.Log(m.options.Logger, event.RolloutUnavailable).Err(err).Send()
			}
			failing = true
			pause.For(ctx, retryPause/2+time.Duration(rand.Int64N(int64(retryPause))))
		}
	}
}

func (m *Manager) read(ctx context.Context, position revision.Revision, listed bool) ([]Entry, revision.Revision, error) {
	if listed {
		return m.options.Store.WatchRollouts(ctx, position)
	}
	return m.options.Store.Rollouts(ctx)
}

// RunWrite writes the states of orders until the context ends.
func (m *Manager) RunWrite(ctx context.Context) {
	for pause.For(ctx, evaluationInterval) {
		if m.options.Role() != discovery.Primary {
			continue
		}
		for _, due := range m.dueWrites() {
			m.write(ctx, due)
		}
	}
}

// dueWrite is a state to be written to an object as it was at a revision.
type dueWrite struct {
	name   string
	at     revision.Revision
	status Status
}

// dueWrites returns the states that this instance has to write now.
func (m *Manager) dueWrites() []dueWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []dueWrite
	for service, found := range m.moves {
		if !found.known || m.written(found) {
			continue
		}
		since := found.joined
		if !found.running() {
			since = found.decidedAt
		}
		if m.now().Sub(since) < time.Duration(m.options.WriterRank(service+"/"+found.order.To))*writerWait {
			continue
		}
		due = append(due, dueWrite{name: service, at: found.entry.Revision, status: Status{
			Present: true, Outcome: found.plan.Outcome, To: found.order.To, OrderID: found.id, Began: found.began,
		}})
	}
	return due
}

// written reports whether the store holds the state of an order, or can hold none.
func (m *Manager) written(found *move) bool {
	if found.plan.Outcome == rollout.Withdrawn {
		return true
	}
	status := &found.entry.Status
	return found.known && status.belongsTo(&found.order) && (status.Outcome == found.plan.Outcome || status.Outcome != rollout.Running)
}

// write writes one state. When the object has changed, what it holds now is taken over.
func (m *Manager) write(ctx context.Context, due dueWrite) {
	entry, err := m.options.Store.WriteStatus(ctx, due.name, due.at, due.status)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && !fault.HasCode(err, fault.RolloutConflict) {
		event.Log(m.options.Logger, event.RolloutNotWritten).Str("service", due.name).Stringer("outcome", due.status.Outcome).Err(err).Send()
		return
	}
	if err == nil {
		m.count("rollouts.written")
		event.Log(m.options.Logger, event.RolloutWritten).Str("service", due.name).Str("to", due.status.To).Stringer("outcome", due.status.Outcome).
			Stringer("revision", entry.Revision).Send()
	}
	m.applyEntry(&entry)
}
