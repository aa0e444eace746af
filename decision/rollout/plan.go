package rollout

import "time"

// Outcome is the end of an order.
type Outcome uint8

// The outcomes.
const (
	// Running orders have no outcome yet.
	Running Outcome = iota
	Completed
	RolledBack
	// Withdrawn orders were removed from the store before another outcome.
	Withdrawn
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	case Withdrawn:
		return "withdrawn"
	default:
		return "running"
	}
}

// Reason is why an order has its share or outcome.
type Reason string

// The reasons.
const (
	ReasonObserving      Reason = "observing"
	ReasonBudgetUsed     Reason = "budget_used"
	ReasonSuspicious     Reason = "suspicious"
	ReasonSwitched       Reason = "switched"
	ReasonStreamsRun     Reason = "old_streams_run"
	ReasonGood           Reason = "good"
	ReasonBad            Reason = "bad"
	ReasonTooFewAnswers  Reason = "too_few_answers"
	ReasonNoServers      Reason = "no_servers"
	ReasonPeerVerdict    Reason = "verdict_of_peer"
	ReasonStatusInStore  Reason = "status_in_store"
	ReasonOrderWithdrawn Reason = "order_withdrawn"
)

const (
	// observedPart is the part of the bound that observation may use; the rest is for the switch.
	observedPart = 0.5
	// usedPart is the part of the bound that is used at most: evidence of peers is seconds old.
	usedPart = 0.85
	// writeTime is the time before the deadline at which the outcome is decided: the write, and a second writer when
	// the first fails. It is at most a tenth of the duration.
	writeTime = time.Second
	// rateMargin is by how much traffic may grow after the switch.
	rateMargin = 1.2
	// minAnswers is the number of the new version's answers without which nothing is known about it.
	minAnswers = 8
	// suspiciousScore is the score from which a version isn't switched to, and is rolled back at the deadline.
	suspiciousScore = 5.0
	// minElapsed is the time in seconds over which traffic is averaged at least.
	minElapsed = 0.5
	// lastMoment is the time before the deadline at which the outcome is written in any case.
	lastMoment = 150 * time.Millisecond
	// rateTime is the time from which on the rate of requests is known.
	rateTime = time.Second
)

// Input is what the plan of an order depends on.
type Input struct {
	Limits Limits
	// Duration is that of the order, Elapsed the time since it was made. Drain is the longest time of a request.
	Duration, Elapsed, Drain time.Duration
	// Age is that of the evidence, Share the largest share that was in force since.
	Age   time.Duration
	Share float64
	// Requests, Exposed and OldStreams are those of all instances.
	Requests, Exposed, OldStreams int
	// SlackPart is the part of the limits' Slack that these instances may use, 0 to 1: that of the instances whose
	// evidence is recent, and 0 when earlier requests were not counted, as after a restart of all.
	SlackPart float64
	Findings  Findings
	// Servers reports whether servers of the new version are ready.
	Servers bool
}

// Plan is what to do until the next evaluation.
type Plan struct {
	// Share is the part of new requests that go to the new version, 0 to 1.
	Share   float64
	Outcome Outcome
	Reason  Reason
}

// Next returns the plan of a running order.
func Next(in *Input) Plan {
	left := in.Duration - in.Elapsed
	decided := left <= min(writeTime, in.Duration/10)
	switch {
	case in.Findings.Bad:
		return Plan{Outcome: RolledBack, Reason: ReasonBad}
	case !decided:
		return during(in, left)
	case !in.Servers:
		return Plan{Outcome: RolledBack, Reason: ReasonNoServers}
	case in.Findings.Score >= suspiciousScore:
		return Plan{Outcome: RolledBack, Reason: ReasonBad}
	case in.Findings.Answers < minAnswers && in.Requests >= minAnswers:
		return Plan{Outcome: RolledBack, Reason: ReasonTooFewAnswers}
	case left > lastMoment && !in.affordable(left):
		return during(in, left)
	case in.OldStreams == 0 || left <= -in.Drain:
		return Plan{Share: 1, Outcome: Completed, Reason: ReasonGood}
	}
	return Plan{Share: 1, Reason: ReasonStreamsRun}
}

// during returns the plan before the outcome is decided.
func during(in *Input, left time.Duration) Plan {
	switch {
	case in.Exposed > 0 && in.exposed() >= in.budget():
		return Plan{Reason: ReasonBudgetUsed}
	case in.Findings.Score >= suspiciousScore:
		return Plan{Share: in.observedShare(left), Reason: ReasonSuspicious}
	case in.Findings.Answers >= minAnswers && in.affordable(left):
		return Plan{Share: 1, Reason: ReasonSwitched}
	}
	return Plan{Share: in.observedShare(left), Reason: ReasonObserving}
}

// slack returns the part of the fixed number of requests that may be used.
func (in *Input) slack() float64 { return float64(in.Limits.Slack) * in.SlackPart }

// exposed returns the number of requests that the new version has got, with those that the evidence doesn't hold yet.
func (in *Input) exposed() float64 {
	return float64(in.Exposed) + rateMargin*in.Share*in.coming(in.Age)
}

// budget returns the number of requests that the new version may have got by now.
func (in *Input) budget() float64 {
	return usedPart * (in.Limits.Share*float64(in.Requests) + in.slack())
}

// coming returns the number of requests that are expected in a time.
func (in *Input) coming(left time.Duration) float64 {
	rate := float64(in.Requests+1) / max((in.Elapsed-in.Age).Seconds(), minElapsed)
	return rate * max(0, left.Seconds())
}

// affordable reports whether all requests until the deadline may go to the new version.
func (in *Input) affordable(left time.Duration) bool {
	return in.exposed()+rateMargin*in.coming(left) <= in.budget()
}

// observedShare returns the share of requests by which the new version is observed. The fixed part of the bound is spread
// over the duration as soon as the rate of requests is known.
func (in *Input) observedShare(left time.Duration) float64 {
	share := in.Limits.Share
	if in.Elapsed-in.Age >= rateTime {
		share += in.slack() / max(1, float64(in.Requests)+in.coming(in.Age+left))
	}
	return min(1, observedPart*share)
}
