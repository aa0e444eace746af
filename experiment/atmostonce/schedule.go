package atmostonce

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// Result is what the oracle found in one schedule.
type Result struct {
	// DoubleRuns counts runs of a key beside another one within its retention.
	DoubleRuns int
	// FalseNotRun counts refusals that said not-run of a key that was sent.
	FalseNotRun int
	// WrongAnswers counts answers that no run of the key gave.
	WrongAnswers int
	// Unhealed says what did not work once every fault was over; empty when
	// all did.
	RecoveryFailure string
	// Answers counts the callers' answers by kind.
	Answers map[string]int
}

// Bounds of a schedule.
const (
	scheduleLength = 12 * time.Second
	longLength     = 40 * time.Second
	healLength     = 40 * time.Second
	maxKeys        = 4
	shortRetention = 12 * time.Second
	longRetention  = time.Hour
)

// RunSchedule runs one schedule of submissions and faults.
func RunSchedule(choices virtual.Choices) Result {
	settings := claim.DefaultSettings()
	settings.MaxClockDifference = time.Second
	settings.SealBytes = 200 + choices.IntN(2)*2000
	retention, length := longRetention, scheduleLength
	if virtual.OneIn(choices, 4) {
		retention, length = shortRetention, longLength
	}
	w := newWorld(choices, 2+choices.IntN(3), settings, retention)
	w.faulty, w.resubmit = true, true
	for _, i := range w.instances {
		i.skew = virtual.Between(choices, 0, settings.MaxClockDifference)
	}
	w.planCalls(length)
	w.planFaults(length)
	w.RunUntil(epoch.Add(length))
	unhealed := w.heal()
	return Result{
		DoubleRuns:      w.oracle.doubleRuns,
		FalseNotRun:     w.oracle.falseNotRun,
		WrongAnswers:    w.oracle.wrongAnswers,
		RecoveryFailure: unhealed,
		Answers:         w.oracle.answers,
	}
}

// planCalls spreads the submissions of a few keys over the schedule.
func (w *world) planCalls(length time.Duration) {
	keys := 1 + w.choices.IntN(maxKeys)
	for range 4 + w.choices.IntN(12) {
		key := w.choices.IntN(keys)
		w.After(virtual.Between(w.choices, 0, length), func() { w.submitAnywhere(key) })
	}
}

// planFaults spreads faults over the schedule.
func (w *world) planFaults(length time.Duration) {
	for range w.choices.IntN(8) {
		kind := w.choices.IntN(faultKinds)
		at := w.instances[w.choices.IntN(len(w.instances))]
		lasts := virtual.Between(w.choices, 50*time.Millisecond, length/2)
		w.After(virtual.Between(w.choices, 0, length), func() { w.fail(kind, at, lasts) })
	}
}

// The kinds of faults.
const (
	faultPause = iota
	faultRestart
	faultOutage
	faultLostAnswers
	faultDelayedWrites
	faultCutFromStore
	faultCutFromPeers
	faultOtherHome
	faultKinds
)

// fail starts a fault and plans its end.
func (w *world) fail(kind int, at *instance, lasts time.Duration) {
	during := func(flag *bool) {
		*flag = true
		w.After(lasts, func() { *flag = false })
	}
	switch kind {
	case faultPause:
		at.pausedUntil = w.Now.Add(lasts)
	case faultRestart:
		w.restarted = true
		at.restart()
	case faultOutage:
		during(&w.store.away)
	case faultLostAnswers:
		during(&w.store.loseAnswers)
	case faultDelayedWrites:
		during(&w.store.delayWrites)
	case faultCutFromStore:
		during(&at.cutFromStore)
	case faultCutFromPeers:
		during(&at.cutFromPeers)
	case faultOtherHome:
		at.home = w.choices.IntN(len(w.instances))
	}
}

// heal ends every fault and checks that a new key runs and that its repeat at
// another instance gets the recorded answer.
func (w *world) heal() string {
	w.faulty, w.resubmit = false, false
	w.RunUntil(w.Now.Add(healLength))
	*w.store = store{objects: w.store.objects, version: w.store.version}
	for _, i := range w.instances {
		i.cutFromStore, i.cutFromPeers = false, false
	}
	if problem := w.checkReleased(); problem != "" {
		return problem
	}
	const freshKey = 1000
	const freshPause = 2 * time.Second
	for n, i := range w.instances {
		var got *call.Finish
		w.answer = func(sub *submission, answer call.Finish) {
			if sub.key == freshKey {
				got = &answer
			}
		}
		w.submit(i, &submission{key: freshKey, at: w.Now})
		w.RunUntil(w.Now.Add(freshPause))
		if problem := checkHealed(n, got); problem != "" {
			return problem
		}
	}
	return ""
}

// checkReleased submits each key of which nothing was ever sent. Unless an
// instance was lost or a fault outlasted the background work, its refused
// submissions must have left no claim behind.
func (w *world) checkReleased() string {
	if w.restarted || w.retention == shortRetention {
		return ""
	}
	problem := ""
	for key := range maxKeys {
		if len(w.oracle.sends[key]) > 0 {
			continue
		}
		w.answer = func(sub *submission, answer call.Finish) {
			if sub.key == key && answer.Fault != nil {
				problem = "key " + strconv.Itoa(key) + " was never sent and is refused: " + answer.Fault.Error()
			}
		}
		w.submit(w.instances[0], &submission{key: key, at: w.Now})
		w.RunUntil(w.Now.Add(time.Second))
	}
	return problem
}

func checkHealed(n int, got *call.Finish) string {
	switch {
	case got == nil:
		return "no answer at submission " + strconv.Itoa(n)
	case got.Fault != nil:
		return "refused at submission " + strconv.Itoa(n) + ": " + fault.From(got.Fault).Error()
	case got.Replayed != (n > 0):
		return "submission " + strconv.Itoa(n) + " was wrongly run or replayed"
	}
	return ""
}
