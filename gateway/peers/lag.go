package peers

import "time"

// lag measures how long peers have had newer state than this instance without any update here.
type lag struct {
	// since is the start of the lag: when peers got ahead or when this instance's
	// state last changed, whichever is later. It is zero while no peer is ahead.
	since time.Time
	// had is the version or revision of this instance's state at that time.
	had uint64
}

// behind updates the lag and returns it. ahead says whether a peer has newer state,
// and has is the version or revision of this instance's state.
func (l *lag) behind(now time.Time, has uint64, ahead bool) time.Duration {
	if !ahead {
		l.since = time.Time{}
		return 0
	}
	if l.since.IsZero() || has != l.had {
		l.since, l.had = now, has
	}
	return now.Sub(l.since)
}
