package rejections

import (
	"time"
)

// Table holds the statements of servers about their rejection limits, and the latest rejections. It is not safe for
// concurrent use.
type Table struct {
	servers map[string]*record
	// services holds the statements of services, by the servers of one or by peers.
	services map[string]statement
}

// statement is the lowest limit that servers of a service stated.
type statement struct {
	limit int
	at    time.Time
	// ownAt is when a server stated it to this instance; zero if only peers report it.
	ownAt time.Time
}

// Change says what an answer changed about the statement of its server.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Stated
	Ended
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: make(map[string]*record), services: make(map[string]statement)}
}

// Answered records the limit that an answer of a server states, 0 for none. Answers without one are recorded only while the
// service has a limit.
func (t *Table) Answered(now time.Time, server, service string, limit int) Change {
	r := t.servers[server]
	if limit == 0 && r == nil {
		if _, known := t.services[service]; !known {
			return Unchanged
		}
	}
	if r == nil {
		r = t.add(server)
	}
	before := r.limit
	if limit == 0 {
		r.statedAt = time.Time{}
	} else if before == 0 {
		r.statedAt = now
	}
	r.service, r.limit, r.answeredAt = service, limit, now
	if limit > 0 {
		t.state(now, service, limit, now)
	}
	switch {
	case before == 0 && limit > 0:
		return Stated
	case before > 0 && limit == 0:
		return Ended
	default:
		return Unchanged
	}
}

// PeerStated records the limit of a service's servers that a peer reports.
func (t *Table) PeerStated(now time.Time, service string, limit int) {
	if _, known := t.services[service]; !known && len(t.services) >= maxServices {
		return
	}
	t.state(now, service, limit, time.Time{})
}

// state records a statement of a service; a lower limit replaces a higher one.
func (t *Table) state(now time.Time, service string, limit int, ownAt time.Time) {
	known := t.services[service]
	if known.limit == 0 || limit < known.limit || now.Sub(known.at) > statementLifetime {
		known.limit = limit
	}
	known.at = now
	if ownAt.After(known.ownAt) {
		known.ownAt = ownAt
	}
	t.services[service] = known
}

// Limit returns the rejection limit of a server, 0 for none. A server that has not answered lately has that of its service,
// because all servers of a service state one at the same time.
func (t *Table) Limit(now time.Time, server, service string) int {
	common, known := t.services[service]
	if !known {
		return 0
	}
	common.limit = t.validLimit(now, common)
	r := t.servers[server]
	if r == nil || r.answeredAt.IsZero() {
		return common.limit
	}
	if now.Sub(r.answeredAt) > statementLifetime {
		return common.limit
	}
	return r.limit
}

func (t *Table) validLimit(now time.Time, s statement) int {
	if now.Sub(s.at) > statementLifetime {
		return 0
	}
	return s.limit
}

// HasLimits reports whether any server of a service may have a limit.
func (t *Table) HasLimits(service string) bool {
	_, known := t.services[service]
	return known
}

// Rejected records that a server rejected a request of this instance for want of room. It reports whether it counts.
func (t *Table) Rejected(now time.Time, server, service string) bool {
	if t.Limit(now, server, service) == 0 {
		return false
	}
	r := t.add(server)
	r.service = service
	r.own = keepLatest(append(r.own, now))
	return true
}

// SetPeerRejections replaces the latest rejections of a server that a peer reports, oldest first.
func (t *Table) SetPeerRejections(instance, server string, times []time.Time) {
	r := t.add(server)
	if r.peers == nil {
		r.peers = make(map[string][]time.Time)
	}
	r.peers[instance] = keepLatest(times)
}

// ExhaustedUntil returns until when a server should get no request because so many were rejected in the window; zero if it
// may get some.
func (t *Table) ExhaustedUntil(now time.Time, server, service string) time.Time {
	limit, r := t.Limit(now, server, service), t.servers[server]
	if limit == 0 || r == nil {
		return time.Time{}
	}
	return r.exhaustedUntil(now, allowance(limit))
}

// allowance returns the number of rejections that instances allow themselves: half of a limit, for what they don't see.
func allowance(limit int) int { return (limit + 1) / 2 }

// Forget removes what is known of a server that ended or restarted.
func (t *Table) Forget(server string) { delete(t.servers, server) }

// Expire removes what has become too old to matter.
func (t *Table) Expire(now time.Time) {
	for service, s := range t.services {
		if now.Sub(s.at) > statementLifetime {
			delete(t.services, service)
		}
	}
	for server, r := range t.servers {
		if _, known := t.services[r.service]; known {
			continue
		}
		if _, all := r.since(now.Add(-learningTime)); all == 0 {
			delete(t.servers, server)
		}
	}
}

// add returns the record of a server, a new one if there is none.
func (t *Table) add(server string) *record {
	r := t.servers[server]
	if r == nil {
		r = &record{}
		t.servers[server] = r
	}
	return r
}
