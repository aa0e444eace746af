package load

import "time"

// excessLifetime is the time in which a stated excess loses its meaning: until then the digests of the instances that
// cause it have come, or its requests have ended.
const excessLifetime = time.Second

// excess is how much more than known a server stated at a time.
type excess struct {
	value int
	setAt time.Time
}

// set records a value; one that is older than the last is ignored.
func (e *excess) set(at time.Time, value int) {
	if at.Before(e.setAt) {
		return
	}
	e.value, e.setAt = max(0, value), at
}

// at returns the part of the excess that still counts.
func (e *excess) at(now time.Time) int {
	remaining := excessLifetime - now.Sub(e.setAt)
	if e.value == 0 || remaining <= 0 {
		return 0
	}
	return int(float64(e.value)*float64(min(remaining, excessLifetime))/float64(excessLifetime) + 0.5)
}
