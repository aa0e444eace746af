package routing

import "time"

// job is one request at an engine.
type job struct {
	request request
	blocks  []block
	ended   func(now time.Duration)
}

// engine runs up to slots jobs; their prefills follow each other.
type engine struct {
	cache   *cache
	running int
	queue   []job
	// prefillFree is when the running prefills are done.
	prefillFree time.Duration
	sequence    uint64
	reports     []observation
}

// observation is a load report before its lag.
type observation struct {
	at   time.Duration
	held int
}

func (e *engine) held() int { return e.running + len(e.queue) }

// submit queues a job and starts what fits.
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

// observe records the load for a later report.
func (e *engine) observe(now time.Duration) {
	e.reports = append(e.reports, observation{now, e.held()})
}

// lagged returns the newest observation that is at least as old as the lag.
func (e *engine) lagged(now time.Duration) (observation, bool) {
	for len(e.reports) > 1 && e.reports[1].at <= now-reportLag {
		e.reports = e.reports[1:]
	}
	if len(e.reports) == 0 || e.reports[0].at > now-reportLag {
		return observation{}, false
	}
	return e.reports[0], true
}
