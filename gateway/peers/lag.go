package peers

import "time"

// lag is how long others have known more than this instance.
type lag struct {
	// since is when it began, or when something new came to this instance last;
	// had is what it knew then.
	since time.Time
	had   uint64
}

// behind returns the lag; ahead reports whether somebody knows more, and has is the
// number of what this instance knows.
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
