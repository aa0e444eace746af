package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The pace of a server is that of its undisturbed intervals; what a slow client holds up says nothing about the server.
func TestPaceIsThatOfUndisturbedIntervals(t *testing.T) {
	is := is.New(t)
	var pace streamPace
	last := time.Unix(1, 0)
	add := func(interval, heldUp time.Duration) (usual, longest time.Duration, complete bool) {
		pace.waits(last.Add(heldUp))
		now := last.Add(interval)
		usual, longest, complete = pace.observe(last, now, 1)
		last = now
		return usual, longest, complete
	}
	for i := range paceEvents {
		interval := 30 * time.Millisecond
		if i%3 == 0 {
			interval = 200 * time.Millisecond
		}
		usual, longest, complete := add(interval, 0)
		is.Equal(complete, i == paceEvents-1)
		if complete {
			is.Equal(usual, 30*time.Millisecond)
			is.Equal(longest, 200*time.Millisecond)
		}
	}
	for range 4 * paceEvents {
		_, _, complete := add(400*time.Millisecond, 300*time.Millisecond)
		is.True(!complete)
	}
}
