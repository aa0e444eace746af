package serverrate

import "time"

// Statement is what is known of a server's rate: the newest answer with a rate, and the newest without one.
type Statement struct {
	Server string
	// PerSecond is the rate that was stated last, in requests a second.
	PerSecond float64
	// StatedAt is when it was stated last, ClearedAt when the server last answered without a rate; zero for never.
	StatedAt  time.Time
	ClearedAt time.Time
}

// holds reports whether the rate holds at a time.
func (s *Statement) holds(now time.Time) bool {
	return !s.StatedAt.IsZero() && s.ClearedAt.Before(s.StatedAt.Add(endDelay)) && now.Sub(s.heardAt()) <= statementLifetime
}

// heardAt returns when the newest answer came that the statement is known from.
func (s *Statement) heardAt() time.Time {
	if s.ClearedAt.After(s.StatedAt) {
		return s.ClearedAt
	}
	return s.StatedAt
}

// merge takes over what is newer in another statement about the same server.
func (s *Statement) merge(other *Statement) {
	if other.StatedAt.After(s.StatedAt) {
		s.StatedAt, s.PerSecond = other.StatedAt, min(max(other.PerSecond, minRate), maxRate)
	}
	if other.ClearedAt.After(s.ClearedAt) {
		s.ClearedAt = other.ClearedAt
	}
}
