package centreloss

import "time"

// Tracker keeps recent signs that servers are silent. It is not safe for concurrent use.
type Tracker struct {
	policy Policy
	signs  map[string]*signs
}

// signs are what is known of one server.
type signs struct {
	// reachedAt is when its machine last accepted a connection; zero for never.
	reachedAt time.Time
	// attemptAt is when the first of the failed connection attempts in a row began, silentAt when a stream was first found
	// silent, peerAt when a peer first found the server failed; zero for none.
	attemptAt time.Time
	silentAt  time.Time
	peerAt    time.Time
	// refuses is set when the last attempt was refused.
	refuses bool
	// updatedAt is when the last sign came.
	updatedAt time.Time
}

// NewTracker returns a tracker without signs.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, signs: make(map[string]*signs)}
}

// Checked records at now how connection attempts to a server ended that began at a time. lastResponse is when the server
// last sent something, zero for never, here and below.
func (t *Tracker) Checked(now, begun, lastResponse time.Time, server string, finding Finding) {
	s := t.sign(now, lastResponse, server)
	if finding == Reached {
		*s = signs{reachedAt: now, updatedAt: now}
		return
	}
	s.attemptAt, s.refuses = first(s.attemptAt, begun), finding == Refused
}

// Silent records at now that a running stream of this instance at a server gets no events.
func (t *Tracker) Silent(now, lastResponse time.Time, server string) {
	s := t.sign(now, lastResponse, server)
	s.silentAt = first(s.silentAt, now)
}

// FailedAtPeer records at now that a peer found a server failed at a time.
func (t *Tracker) FailedAtPeer(now, at, lastResponse time.Time, server string) {
	s := t.sign(now, lastResponse, server)
	s.peerAt = first(s.peerAt, at)
}

// Expire drops the signs that no longer count.
func (t *Tracker) Expire(now time.Time) {
	for server, s := range t.signs {
		if now.Sub(s.updatedAt) > t.policy.Window {
			delete(t.signs, server)
		}
	}
}

// sign returns the signs of a server for a new one, without those that its last response has made void.
func (t *Tracker) sign(now, lastResponse time.Time, server string) *signs {
	s := t.signs[server]
	if s == nil || now.Sub(s.updatedAt) > t.policy.Window || lastResponse.After(s.first()) {
		s = &signs{}
		t.signs[server] = s
	}
	s.updatedAt = now
	return s
}

// first returns when the first sign came.
func (s *signs) first() time.Time {
	return first(first(s.reachedAt, s.attemptAt), first(s.silentAt, s.peerAt))
}

// first returns the earlier time; zero times stand for none.
func first(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
