package routing

import "time"

// job is one request that an engine runs or queues.
type job struct {
	request request
	blocks  []blockHash
	onEnd   func(now time.Duration)
}

// engine runs as many jobs at a time as it has slots. Prefills run one after the other.
type engine struct {
	cache   *cache
	running int
	queue   []job
	// prefillFreeAt is the time when all prefills started so far are done.
	prefillFreeAt time.Duration
	sequence      uint64
	observations  []observation
}

// observation is the load of an engine at one time.
type observation struct {
	at       time.Duration
	requests int
}

func (e *engine) requests() int { return e.running + len(e.queue) }

// submit queues a job and starts queued jobs while slots are free.
func (e *engine) submit(s *simulation, now time.Duration, next job) {
	e.queue = append(e.queue, next)
	e.start(s, now)
}

func (e *engine) start(s *simulation, now time.Duration) {
	for e.running < slotsPerEngine && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		hits := e.cache.access(next.blocks)
		missed := len(next.request.prompt)/bytesPerToken - hits*blockTokens
		first := max(now, e.prefillFreeAt) + time.Duration(missed)*prefillTimePerToken
		e.prefillFreeAt = first
		s.recordFirstToken(next.request, hits, len(next.blocks), first)
		s.scheduler.At(first+time.Duration(next.request.tokens)*tokenTime, func(now time.Duration) {
			e.running--
			next.onEnd(now)
			e.start(s, now)
		})
	}
}

// observe records the current load for a later report.
func (e *engine) observe(now time.Duration) {
	e.observations = append(e.observations, observation{now, e.requests()})
}

// lagged returns the newest observation that is at least reportLag old, and whether there is one.
func (e *engine) lagged(now time.Duration) (observation, bool) {
	for len(e.observations) > 1 && e.observations[1].at <= now-reportLag {
		e.observations = e.observations[1:]
	}
	if len(e.observations) == 0 || e.observations[0].at > now-reportLag {
		return observation{}, false
	}
	return e.observations[0], true
}
