package atmostonce

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// oracle records what the backend servers ran and what the callers received, and
// counts violations.
type oracle struct {
	// window is the time within which a key must not run twice.
	window time.Duration
	sends  map[int][]time.Time
	runs   map[int][]time.Time
	// doubleRuns and falseNotRun count violations of the guarantee;
	// wrongAnswers counts answers that no run of the key produced.
	doubleRuns   int
	falseNotRun  int
	wrongAnswers int
	answers      map[string]int
}

func newOracle(window time.Duration) *oracle {
	return &oracle{window: window, sends: make(map[int][]time.Time), runs: make(map[int][]time.Time), answers: make(map[string]int)}
}

func (o *oracle) sent(key int, at time.Time) { o.sends[key] = append(o.sends[key], at) }

// run records a run of the key and returns its number, counted from 1.
func (o *oracle) run(key int, at time.Time) int {
	for _, earlier := range o.runs[key] {
		if at.Sub(earlier) < o.window {
			o.doubleRuns++
		}
	}
	o.runs[key] = append(o.runs[key], at)
	return len(o.runs[key])
}

// answered checks the answer that a submission receives at a time.
func (o *oracle) answered(sub *submission, answer call.Finish, at time.Time) {
	if answer.Fault == nil {
		o.checkAnswer(sub, string(answer.Outcome.Body))
		o.answers["answered"]++
		return
	}
	o.answers[string(answer.Fault.Execution)]++
	if answer.Fault.Execution == fault.ExecutionNotRun && !o.notRunWasTrue(sub, at) {
		o.falseNotRun++
	}
}

// notRunWasTrue reports whether not-run was true at any moment between the submission
// and its answer: at that moment nothing had been sent for the key, apart from sends
// older than the window for which keys are recorded. After a send, such a moment
// exists only for a submission that waits longer than the window, at a paused instance.
func (o *oracle) notRunWasTrue(sub *submission, answered time.Time) bool {
	moment := sub.at
	for _, sent := range o.sends[sub.key] {
		if sent.After(moment) {
			return true
		}
		if expiry := sent.Add(o.window); expiry.After(moment) {
			moment = expiry
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
