package breaker

import (
	"math/rand/v2"
	"time"
)

// Breaker is the circuit breaker of one backend server. The zero value is not
// usable; call New.
type Breaker struct {
	config              Config
	random              *rand.Rand
	state               State
	consecutiveFailures int
	reopenings          int
	// nextProbeAt is when an open breaker becomes half-open.
	nextProbeAt   time.Duration
	probeInFlight bool
	// probeSentAt is when the running probe started.
	probeSentAt time.Duration
}

// New returns a closed breaker. The random source of the jitter must not be shared
// between goroutines.
func New(config Config, random *rand.Rand) *Breaker {
	return &Breaker{config: config, random: random, state: Closed}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Duration) State {
	b.advance(now)
	return b.state
}

// Allows reports whether an attempt may be sent now. It reserves no probe; Sent does.
func (b *Breaker) Allows(now time.Duration) bool {
	b.advance(now)
	switch b.state {
	case Closed:
		return true
	case HalfOpen:
		return !b.probeInFlight
	default:
		return false
	}
}

// Sent records that an attempt was sent and reports whether it is the probe of
// a half-open breaker.
func (b *Breaker) Sent(now time.Duration) (probe bool) {
	b.advance(now)
	if b.state != HalfOpen || b.probeInFlight {
		return false
	}
	b.probeInFlight = true
	b.probeSentAt = now
	return true
}

// Ended records how an attempt ended. probe is what Sent returned for it.
func (b *Breaker) Ended(now time.Duration, probe bool, outcome Outcome) {
	b.advance(now)
	if probe {
		b.probeInFlight = false
	}
	switch outcome {
	case Success:
		b.recordSuccess(probe)
	case Failure:
		b.recordFailure(now, probe)
	case Neutral:
	}
}

// recordSuccess resets a closed breaker and closes a half-open one for a probe. A
// late success of an attempt sent before the breaker opened says nothing about the
// server now.
func (b *Breaker) recordSuccess(probe bool) {
	if b.state == Closed || (b.state == HalfOpen && probe) {
		b.close()
	}
}

func (b *Breaker) recordFailure(now time.Duration, probe bool) {
	b.consecutiveFailures++
	switch {
	case b.state == Closed && b.consecutiveFailures >= b.config.FailureThreshold:
		b.open(now)
	case b.state == HalfOpen && probe:
		b.reopenings++
		b.open(now)
	}
}

func (b *Breaker) close() {
	b.state = Closed
	b.consecutiveFailures = 0
	b.reopenings = 0
	b.probeInFlight = false
}

func (b *Breaker) open(now time.Duration) {
	b.state = Open
	b.probeInFlight = false
	b.nextProbeAt = now + b.openWait()
}

// openWait returns the time until the next probe: OpenWait, doubled for each reopening
// up to MaxOpenWait, of which the second half is random.
func (b *Breaker) openWait() time.Duration {
	wait := b.config.OpenWait
	for range b.reopenings {
		wait = min(2*wait, b.config.MaxOpenWait)
	}
	half := wait / 2
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}

// advance applies the state changes that depend on time alone.
func (b *Breaker) advance(now time.Duration) {
	if b.state == Open && now >= b.nextProbeAt {
		b.state = HalfOpen
	}
	if b.state == HalfOpen && b.probeInFlight && now-b.probeSentAt >= b.config.ProbeSuccessAfter {
		b.close()
	}
}
