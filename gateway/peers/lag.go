package peers

import "time"

// lag measures how long peers have had newer state than this instance without any update here.
type lag struct {
	// startedAt is the start of the lag: when peers got ahead or when this instance's
	// state last changed, whichever is later. It is zero while no peer is ahead.
	startedAt time.Time
	// valueAtStart is the version or revision of this instance's state at that time.
	valueAtStart uint64
}

// update updates the lag and returns it. peerAhead says whether a peer has newer state,
// and value is the version or revision of this instance's state.
func (l *lag) update(now time.Time, value uint64, peerAhead bool) time.Duration {
	if !peerAhead {
		l.startedAt = time.Time{}
		return 0
	}
	if l.startedAt.IsZero() || value != l.valueAtStart {
		l.startedAt, l.valueAtStart = now, value
	}
	return now.Sub(l.startedAt)
}
