package atmostonce

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// oracle knows what the backend servers ran and what the callers were told.
type oracle struct {
	// window is the time in which a key must not run twice.
	window time.Duration
	sends  map[int][]time.Time
	runs   map[int][]time.Time
	// doubleRuns and falseNotRun count broken promises; wrongAnswers counts
	// answers that no run of the key gave.
	doubleRuns   int
	falseNotRun  int
	wrongAnswers int
	answers      map[string]int
}

func newOracle(window time.Duration) *oracle {
	return &oracle{window: window, sends: make(map[int][]time.Time), runs: make(map[int][]time.Time), answers: make(map[string]int)}
}

func (o *oracle) sent(key int, at time.Time) { o.sends[key] = append(o.sends[key], at) }

// run notes a run of the key and returns its number.
func (o *oracle) run(key int, at time.Time) int {
	for _, earlier := range o.runs[key] {
		if at.Sub(earlier) < o.window {
			o.doubleRuns++
		}
	}
	o.runs[key] = append(o.runs[key], at)
	return len(o.runs[key])
}

// answered checks an answer that is given at a time.
func (o *oracle) answered(sub *submission, answer call.Finish, at time.Time) {
	if answer.Fault == nil {
		o.checkAnswer(sub, string(answer.Outcome.Body))
		o.answers["answered"]++
		return
	}
	o.answers[string(answer.Fault.Execution)]++
	if answer.Fault.Execution == fault.ExecutionNotRun && !o.notRunHeld(sub, at) {
		o.falseNotRun++
	}
}

// notRunHeld reports whether not-run was true at one moment between the
// submission and its answer: nothing had been sent for the key, except before
// the time for which keys are remembered. Only a submission that waits longer
// than that, at a paused instance, has such a moment after a sending.
func (o *oracle) notRunHeld(sub *submission, answered time.Time) bool {
	moment := sub.at
	for _, sent := range o.sends[sub.key] {
		if sent.After(moment) {
			return true
		}
		if forgotten := sent.Add(o.window); forgotten.After(moment) {
			moment = forgotten
		}
	}
	return !moment.After(answered)
}

func (o *oracle) checkAnswer(sub *submission, body string) {
	for run := range o.runs[sub.key] {
		if body == runBody(sub.key, run+1) {
			return
		}
	}
	o.wrongAnswers++
}
