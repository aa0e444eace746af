package centreloss

import "time"

// period is the time in which a server fell silent: after its last sign of life and before the first sign of silence.
type period struct {
	after, before time.Time
	// unanswered is set when no connection attempt was answered since, silent when there is any sign of silence.
	unanswered, silent bool
}

// overlaps reports whether two servers may have fallen silent in the same moment.
func (p period) overlaps(other period) bool {
	return !p.after.After(other.before) && !other.after.After(p.before)
}

// Lost tells whether a server was lost in the same moment as most others of its service in its data centre. It answers no
// connection attempt itself then. lastResponse returns when a server last sent something, zero for never.
func (t *Tracker) Lost(now time.Time, server string, others []string, lastResponse func(server string) time.Time) Verdict {
	own := t.period(now, server, lastResponse(server))
	if !own.unanswered || len(others) == 0 {
		return Verdict{}
	}
	var verdict Verdict
	living := 0
	for _, other := range others {
		p := t.period(now, other, lastResponse(other))
		switch {
		case p.after.After(own.before):
			living++
		case p.silent && p.overlaps(own):
			verdict.Silent = append(verdict.Silent, other)
		}
	}
	count := 1 + len(verdict.Silent)
	verdict.Lost = count >= min(t.policy.Servers, 1+len(others)) && count > 2*living
	return verdict
}

// Unanswered reports whether a server that last sent something at a time has answered no connection attempt since.
func (t *Tracker) Unanswered(now time.Time, server string, lastResponse time.Time) bool {
	return t.period(now, server, lastResponse).unanswered
}

// period returns when a server fell silent that last sent something at a time.
func (t *Tracker) period(now time.Time, server string, lastResponse time.Time) period {
	p := period{after: lastResponse}
	s := t.signs[server]
	if s == nil || now.Sub(s.updatedAt) > t.policy.Window {
		return p
	}
	if s.reachedAt.After(p.after) {
		p.after = s.reachedAt
	}
	for _, sign := range []time.Time{s.attemptAt, s.silentAt, s.peerAt} {
		if sign.After(p.after) {
			p.before, p.silent = first(p.before, sign), true
		}
	}
	p.unanswered = s.attemptAt.After(p.after) && !s.refuses
	return p
}
