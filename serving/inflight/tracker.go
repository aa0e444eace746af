package inflight

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Names of the metrics.
const (
	// MetricTokens counts the tokens delivered to callers.
	MetricTokens = "generation.tokens"
	// MetricGenerations and MetricCalls count the requests that began.
	MetricGenerations = "generation.started"
	MetricCalls       = "call.started"
	// MetricResumes counts the losses after which a generation went on.
	MetricResumes = "generation.resumes"
	// MetricResumeLatency is the time in milliseconds from the last token
	// before a loss to the next one.
	MetricResumeLatency = "generation.resume_latency_ms"
	// MetricRefused, followed by a code, counts the requests that failed.
	MetricFailed = "refused."
)

// latencySamples is the size of the sample of resume latencies.
const latencySamples = 1024

// Kinds of decision.
const (
	kindBegin  = "begin"
	kindEnd    = "end"
	kindRoute  = "route"
	kindRefuse = "refuse"
	// kindResumed continues a broken answer; it is recorded just before the
	// first token after the loss.
	kindResumed = "resumed"
)

// Tracker holds what is in flight. It is safe for concurrent use.
type Tracker struct {
	registry    metrics.Registry
	latency     metrics.Histogram
	now         func() time.Time
	mu          sync.Mutex
	generations map[string]*generation
	calls       map[string]*dump.Call
}

// generation is one tracked generation.
type generation struct {
	dump.Generation
	lastToken time.Time
}

// NewTracker returns a tracker that counts in a registry. Now returns the
// time.
func NewTracker(registry metrics.Registry, now func() time.Time) *Tracker {
	return &Tracker{
		registry:    registry,
		latency:     metrics.GetOrRegisterHistogram(MetricResumeLatency, registry, metrics.NewUniformSample(latencySamples)),
		now:         now,
		generations: make(map[string]*generation),
		calls:       make(map[string]*dump.Call),
	}
}

// Generations returns the generations in progress in order of request id.
func (t *Tracker) Generations() []dump.Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]dump.Generation, 0, len(t.generations))
	for _, running := range t.generations {
		list = append(list, running.Generation)
	}
	slices.SortFunc(list, func(a, b dump.Generation) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return list
}

// Calls returns the calls in progress in order of request id.
func (t *Tracker) Calls() []dump.Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]dump.Call, 0, len(t.calls))
	for _, running := range t.calls {
		list = append(list, *running)
	}
	slices.SortFunc(list, func(a, b dump.Call) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return list
}

// count adds one to a counter.
func (t *Tracker) count(name string) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(1)
}

// ended counts a failed request by its code.
func (t *Tracker) ended(err error) {
	if err != nil {
		t.count(MetricFailed + string(fault.From(err).Code))
	}
}

// decided notes the server of a new attempt.
func (t *Tracker) decided(decision serving.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, found := t.generations[decision.Subject]; found {
		t.decidedGeneration(running, decision)
	}
	if running, found := t.calls[decision.Subject]; found && decision.Server != "" {
		running.Server, running.State = decision.Server, "sent"
	}
}

func (t *Tracker) decidedGeneration(running *generation, decision serving.Decision) {
	if decision.Server != "" && decision.Server != running.Server {
		running.Server = decision.Server
		running.Attempt++
	}
	if decision.Kind == kindResumed && running.Tokens > 0 {
		t.count(MetricResumes)
		t.latency.Update(t.now().Sub(running.lastToken).Milliseconds())
	}
}

// endDecision describes how a request ended.
func endDecision(subject, success string, err error) serving.Decision {
	decision := serving.Decision{Subject: subject, Kind: kindEnd, Reason: success}
	if err != nil {
		decision.Reason = "failed: " + err.Error()
	}
	return decision
}
