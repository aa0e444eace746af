package breaker

import (
	"math/rand/v2"
	"time"
)

// Breaker is the circuit breaker of one backend server. The zero value is not
// usable; call New.
type Breaker struct {
	config   Config
	random   *rand.Rand
	state    State
	failures int
	reopened int
	// probeAt is when an open breaker becomes half-open.
	probeAt time.Duration
	probing bool
	// probeSent is when the running probe started.
	probeSent time.Duration
}

// New returns a closed breaker. The source of jitter is not shared between
// goroutines.
func New(config Config, random *rand.Rand) *Breaker {
	return &Breaker{config: config, random: random, state: Closed}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Duration) State {
	b.advance(now)
	return b.state
}

// Allows reports whether an attempt may be sent now. It claims nothing.
func (b *Breaker) Allows(now time.Duration) bool {
	b.advance(now)
	switch b.state {
	case Closed:
		return true
	case HalfOpen:
		return !b.probing
	default:
		return false
	}
}

// Sent records that an attempt started and reports whether it is the probe of
// a half-open breaker.
func (b *Breaker) Sent(now time.Duration) (probe bool) {
	b.advance(now)
	if b.state != HalfOpen || b.probing {
		return false
	}
	b.probing = true
	b.probeSent = now
	return true
}

// Ended records how an attempt ended. probe is what Sent returned for it.
func (b *Breaker) Ended(now time.Duration, probe bool, outcome Outcome) {
	b.advance(now)
	if probe {
		b.probing = false
	}
	switch outcome {
	case Success:
		b.succeed(probe)
	case Failure:
		b.fail(now, probe)
	case Neutral:
	}
}

// succeed closes the breaker for a probe. A late success of an attempt that
// was sent before the breaker opened proves nothing about the server now.
func (b *Breaker) succeed(probe bool) {
	if b.state == Closed || (b.state == HalfOpen && probe) {
		b.close()
	}
}

func (b *Breaker) fail(now time.Duration, probe bool) {
	b.failures++
	switch {
	case b.state == Closed && b.failures >= b.config.FailureThreshold:
		b.open(now)
	case b.state == HalfOpen && probe:
		b.reopened++
		b.open(now)
	}
}

func (b *Breaker) close() {
	b.state = Closed
	b.failures = 0
	b.reopened = 0
	b.probing = false
}

func (b *Breaker) open(now time.Duration) {
	b.state = Open
	b.probing = false
	b.probeAt = now + b.wait()
}

// wait returns the doubled wait with a jitter of one half.
func (b *Breaker) wait() time.Duration {
	wait := b.config.OpenWait
	for range b.reopened {
		wait = min(2*wait, b.config.MaxOpenWait)
	}
	half := wait / 2
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}

// advance applies the changes that time alone brings.
func (b *Breaker) advance(now time.Duration) {
	if b.state == Open && now >= b.probeAt {
		b.state = HalfOpen
	}
	if b.state == HalfOpen && b.probing && now-b.probeSent >= b.config.ProbeSuccessAfter {
		b.close()
	}
}
