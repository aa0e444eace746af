package load

import (
	"math"
	"time"
)

// intervalWeight is the weight of one observation in the usual interval of a service: its servers differ, and many are
// observed in a second.
const intervalWeight = 0.02

const (
	// minReadTokens is the size of a prompt from which its reading determines the time to the first event.
	minReadTokens = 500
	// minReads is the number of prompts before the speed counts, readWeight the weight of one of them.
	minReads   = 8
	readWeight = 0.1
	// maxReadRatio bounds how far the speed of reading may be from the declared one, slowerRatio is the part below
	// which it is clearly slower. Prompts of which a part is kept seem to be read faster: so only slower ones count.
	maxReadRatio = 4.0
	slowerRatio  = 0.85
)

// serviceSpeed holds the usual interval between two events at the servers of a service, and the time to read a token, as
// logarithms of nanoseconds, each with the number of observations.
type serviceSpeed struct {
	interval float64
	observed float64
	// stated is set when servers of the service state how long work takes.
	stated bool
	read   float64
	reads  float64
}

// relative returns an interval as a multiple of the usual one, 0 while that is unknown. stated is how long work takes at its
// server by the server's own word at that time, 0 when unknown. It determines the usual interval for services whose servers
// state it; for others that is the mean of what is observed.
func (s *serviceSpeed) relative(interval time.Duration, stated float64) float64 {
	value := math.Log(float64(interval))
	switch {
	case stated > 0:
		s.add(value - math.Log(stated))
	case !s.stated:
		s.add(value)
	}
	if s.observed == 0 {
		return 0
	}
	return math.Exp(value - s.interval)
}

func (s *serviceSpeed) add(value float64) {
	s.observed++
	s.interval += max(intervalWeight, 1/s.observed) * (value - s.interval)
}

func (s *serviceSpeed) addRead(tokens int, took time.Duration) {
	s.reads++
	s.read += max(readWeight, 1/s.reads) * (math.Log(float64(took)/float64(tokens)) - s.read)
}

// readingSpeed returns the tokens read in a millisecond.
func (s *serviceSpeed) readingSpeed(declared float64) float64 {
	if s.reads < minReads {
		return declared
	}
	speed := float64(time.Millisecond) / math.Exp(s.read)
	if speed > slowerRatio*declared {
		return declared
	}
	return max(speed, declared/maxReadRatio)
}
