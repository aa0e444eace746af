package load

import (
	"math"
	"time"
)

const (
	// presentHalfLife is the time in which the difference between a server's present speed and its usual one is expected
	// to halve: machines are shared, and their speed changes several times a second.
	presentHalfLife = 400 * time.Millisecond
	// usualLifetime is the half-life of the weight of the usual speed without an observation. A slow server that gets few
	// requests is observed seldom; with a shorter one it would be tried again by each instance each time.
	usualLifetime = 20 * time.Second
	// maxUsualWeight bounds the number of observations in the usual speed.
	maxUsualWeight = 8.0
	// priorWeight is the weight of the assumption that a server is as usual, in observations.
	priorWeight = 0.25
	// noise is the difference of an observed interval from the usual one, as a logarithm, that counts for nothing.
	noise = 0.14
	// minFactor and maxFactor bound a single observation, so that one can't decide for long.
	minFactor = 0.2
	maxFactor = 8.0
)

// speed estimates how long work takes at one server as a multiple of the usual time of its service, in logarithms: as
// usual for this server, and now. The zero value says that it is as usual.
type speed struct {
	usual       float64
	usualWeight float64
	usualAt     time.Time
	present     float64
	presentAt   time.Time
}

// observe records how long work took, as a multiple.
func (s *speed) observe(now time.Time, factor float64) {
	if now.Before(s.presentAt) {
		return
	}
	value := math.Log(min(max(factor, minFactor), maxFactor))
	weight := min(s.weight(now), maxUsualWeight-1)
	s.usual += (value - s.usual) / (weight + 1)
	s.usualWeight, s.usualAt = weight+1, now
	s.setPresent(now, value)
}

// setPresent follows a value, the faster the older the last one is.
func (s *speed) setPresent(now time.Time, value float64) {
	keep := 0.5 * decayed(now, s.presentAt, presentHalfLife)
	s.present, s.presentAt = keep*s.present+(1-keep)*value, now
}

func (s *speed) weight(now time.Time) float64 {
	return s.usualWeight * decayed(now, s.usualAt, usualLifetime)
}

// usualValue returns the logarithm of the usual time; an assumed observation says that it is that of the service.
func (s *speed) usualValue(now time.Time) float64 {
	weight := s.weight(now)
	return s.usual * weight / (weight + priorWeight)
}

// work returns the expected time of work that takes a time ahead, as a multiple. The present value counts for less with its
// age and with the time ahead.
func (s *speed) work(now time.Time, ahead time.Duration) float64 {
	usual := math.Exp(s.usualValue(now))
	part := decayed(now, s.presentAt, presentHalfLife)
	if halves := float64(ahead) / float64(presentHalfLife); halves > 0 {
		part *= (1 - math.Exp2(-halves)) / (halves * math.Ln2)
	}
	return part*math.Exp(s.present) + (1-part)*usual
}

// withoutNoise returns an observed multiple without the part that may be noise.
func withoutNoise(factor float64) float64 {
	value := math.Log(factor)
	switch {
	case value > noise:
		return math.Exp(value - noise)
	case value < -noise:
		return math.Exp(value + noise)
	default:
		return 1
	}
}

// decayed returns the part of a weight that is left since a time, 0 when the time is zero.
func decayed(now, since time.Time, half time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(0, now.Sub(since))) / float64(half))
}
