package load

import "time"

// SlowStart returns the factor between floor and 1 by which the slots of a new
// server are multiplied. It grows linearly during ramp, so that a server with an
// empty cache isn't overloaded.
func SlowStart(age, ramp time.Duration, floor float64) float64 {
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return floor + (1-floor)*max(0, float64(age))/float64(ramp)
}
