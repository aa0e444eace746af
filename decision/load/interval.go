package load

import (
	"math"
	"time"
)

const (
	// maxInterval bounds an observed interval between two events.
	maxInterval = 10 * time.Second
	// pauseHalfLife is the time in which an observed pause halves.
	pauseHalfLife = 500 * time.Millisecond
)

// interval is the usual interval between two events of a server, and the longest pause, as observed last.
type interval struct {
	usual time.Duration
	pause time.Duration
	setAt time.Time
}

func (i *interval) set(now time.Time, usual, pause time.Duration) {
	pause = max(usual, min(pause, maxInterval), i.pauseAt(now))
	i.usual, i.pause, i.setAt = usual, pause, now
}

// pauseAt returns the pause that is expected: the observed one fades to the usual interval.
func (i *interval) pauseAt(now time.Time) time.Duration {
	if i.setAt.IsZero() {
		return 0
	}
	weight := math.Exp2(-float64(max(0, now.Sub(i.setAt))) / float64(pauseHalfLife))
	return i.usual + time.Duration(weight*float64(i.pause-i.usual))
}
