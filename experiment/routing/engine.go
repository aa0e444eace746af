package routing

import "time"

// job is one request that an engine runs or queues.
type job struct {
	request request
	blocks  []block
	ended   func(now time.Duration)
}

// engine runs as many jobs at a time as it has slots. Prefills run one after the other.
type engine struct {
	cache   *cache
	running int
	queue   []job
	// prefillFree is the time when all prefills started so far are done.
	prefillFree time.Duration
	sequence    uint64
	reports     []observation
}

// observation is the load of an engine at one time.
type observation struct {
	at   time.Duration
	held int
}

func (e *engine) held() int { return e.running + len(e.queue) }

// submit queues a job and starts queued jobs while slots are free.
func (e *engine) submit(s *simulation, now time.Duration, next job) {
	e.queue = append(e.queue, next)
	e.start(s, now)
}

func (e *engine) start(s *simulation, now time.Duration) {
	for e.running < slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		hits := e.cache.use(next.blocks)
		missed := len(next.request.prompt)/bytesPerToken - hits*blockTokens
		first := max(now, e.prefillFree) + time.Duration(missed)*prefillTime
		e.prefillFree = first
		s.measure(next.request, hits, len(next.blocks), first)
		s.scheduler.At(first+time.Duration(next.request.tokens)*tokenTime, func(now time.Duration) {
			e.running--
			next.ended(now)
			e.start(s, now)
		})
	}
}

// observe records the current load for a later report.
func (e *engine) observe(now time.Duration) {
	e.reports = append(e.reports, observation{now, e.held()})
}

// lagged returns the newest observation that is at least reportLag old, and whether there is one.
func (e *engine) lagged(now time.Duration) (observation, bool) {
	for len(e.reports) > 1 && e.reports[1].at <= now-reportLag {
		e.reports = e.reports[1:]
	}
	if len(e.reports) == 0 || e.reports[0].at > now-reportLag {
		return observation{}, false
	}
	return e.reports[0], true
}
