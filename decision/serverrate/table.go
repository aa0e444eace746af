package serverrate

import (
	"cmp"
	"slices"
	"time"
)

// Table holds the rates that servers state, and what this instance may still send them. It is not safe for concurrent use.
type Table struct {
	startedAt time.Time
	servers   map[string]*record
}

// record holds what is known about one server.
type record struct {
	Statement
	// own is what this instance heard itself. Only that is told to peers: what goes from one to another would become newer
	// by each message's way.
	own       Statement
	allowance allowance
}

// Change says what an answer changed about the rate of its server.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Stated
	Ended
)

// NewTable returns the empty table of an instance that has started at a time.
func NewTable(startedAt time.Time) *Table {
	return &Table{startedAt: startedAt, servers: make(map[string]*record)}
}

// Answered records an answer of a server. stated says whether it states a rate, in requests a second.
func (t *Table) Answered(now time.Time, server string, perSecond float64, stated bool) Change {
	r := t.servers[server]
	if r == nil {
		if !stated {
			return Unchanged
		}
		r = t.add(server)
	}
	before := r.holds(now)
	heard := Statement{ClearedAt: now}
	if stated {
		heard = Statement{PerSecond: perSecond, StatedAt: now}
	}
	r.merge(&heard)
	r.own.merge(&heard)
	switch after := r.holds(now); {
	case !before && after:
		return Stated
	case before && !after:
		return Ended
	default:
		return Unchanged
	}
}

// PeerReported records the statement of a server that a peer reports.
func (t *Table) PeerReported(reported Statement) {
	r := t.servers[reported.Server]
	if r == nil {
		if reported.StatedAt.IsZero() || len(t.servers) >= maxServers {
			return
		}
		r = t.add(reported.Server)
	}
	r.merge(&reported)
}

// Reports returns what this instance heard itself, for peers; the latest if there is much.
func (t *Table) Reports(now time.Time) []Statement {
	var reports []Statement
	for _, r := range t.servers {
		if heardAt := r.own.heardAt(); !heardAt.IsZero() && now.Sub(heardAt) <= statementLifetime {
			reports = append(reports, r.own)
		}
	}
	slices.SortFunc(reports, func(a, b Statement) int {
		return cmp.Or(b.heardAt().Compare(a.heardAt()), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(len(reports), maxReports)]
}

// Rate returns the rate that a server states, in requests a second; false when it states none.
func (t *Table) Rate(now time.Time, server string) (perSecond float64, stated bool) {
	r := t.servers[server]
	if r == nil || !r.holds(now) {
		return 0, false
	}
	return r.PerSecond, true
}

// Any reports whether any server may state a rate.
func (t *Table) Any() bool { return len(t.servers) > 0 }

// Count returns the number of servers that state a rate.
func (t *Table) Count(now time.Time) (count int) {
	for _, r := range t.servers {
		if r.holds(now) {
			count++
		}
	}
	return count
}

// Allows reports whether this instance may send a server a request now.
func (t *Table) Allows(now time.Time, server string, share Share) bool {
	until, known := t.Next(now, server, share)
	return known && until == 0
}

// Next returns the time until this instance may send a server a request; false if it has no part of its rate.
func (t *Table) Next(now time.Time, server string, share Share) (until time.Duration, known bool) {
	r := t.servers[server]
	if r == nil || !r.holds(now) {
		return 0, true
	}
	t.update(now, r, share)
	return r.allowance.next()
}

// Due reports whether a server that states a rate is to get the next request that this instance may send it, because nothing
// was heard of it for a while.
func (t *Table) Due(now time.Time, server string, share Share) bool {
	r := t.servers[server]
	return r != nil && r.holds(now) && now.Sub(r.heardAt()) >= refreshTime && t.Allows(now, server, share)
}

// Sent records that a request is sent to a server, also one that Allows did not allow.
func (t *Table) Sent(now time.Time, server string, share Share) {
	r := t.servers[server]
	if r == nil || !r.holds(now) {
		return
	}
	t.update(now, r, share)
	r.allowance.tokens = max(r.allowance.tokens-1, -maxDebt)
}

// Forget removes what is known of a server that ended or restarted.
func (t *Table) Forget(server string) { delete(t.servers, server) }

// Expire removes the statements that have become too old.
func (t *Table) Expire(now time.Time) {
	for server, r := range t.servers {
		if now.Sub(r.heardAt()) > statementLifetime {
			delete(t.servers, server)
		}
	}
}

// update brings the allowance of a server up to date. An instance that has just started doesn't know the others yet and has no part.
func (t *Table) update(now time.Time, r *record, share Share) {
	if now.Sub(t.startedAt) < settlingTime {
		share = Share{}
	}
	perSecond, burst := share.part(r.PerSecond)
	r.allowance.update(now, perSecond, burst)
}

func (t *Table) add(server string) *record {
	r := &record{Statement: Statement{Server: server}, own: Statement{Server: server}}
	t.servers[server] = r
	return r
}
