package atmostonce

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// Result holds the oracle's findings for one schedule.
type Result struct {
	// DoubleRuns counts pairs of runs of one key within its retention.
	DoubleRuns int
	// FalseNotRun counts not-run refusals of keys that had been sent.
	FalseNotRun int
	// WrongAnswers counts answers that no run of the key produced.
	WrongAnswers int
	// RecoveryFailure describes what did not work after every fault had ended; it is
	// empty if everything worked.
	RecoveryFailure string
	// Answers counts the callers' answers by kind.
	Answers map[string]int
}

// Times and bounds of a schedule.
const (
	scheduleLength     = 12 * time.Second
	longScheduleLength = 40 * time.Second
	recoveryTime       = 40 * time.Second
	maxKeys            = 4
	shortRetention     = 12 * time.Second
	longRetention      = time.Hour
)

// RunSchedule runs one schedule of submissions and faults, drawn from choices, and
// then checks recovery.
func RunSchedule(choices virtual.Choices) Result {
	settings := claim.DefaultSettings()
	settings.MaxClockDifference = time.Second
	settings.SealBytes = 200 + choices.IntN(2)*2000
	retention, length := longRetention, scheduleLength
	if virtual.OneIn(choices, 4) {
		retention, length = shortRetention, longScheduleLength
	}
	w := newWorld(choices, 2+choices.IntN(3), settings, retention)
	w.serversFail, w.resubmit = true, true
	for _, i := range w.instances {
		i.skew = virtual.Between(choices, 0, settings.MaxClockDifference)
	}
	w.planCalls(length)
	w.planFaults(length)
	w.RunUntil(epoch.Add(length))
	recoveryFailure := w.checkRecovery()
	return Result{
		DoubleRuns:      w.oracle.doubleRuns,
		FalseNotRun:     w.oracle.falseNotRun,
		WrongAnswers:    w.oracle.wrongAnswers,
		RecoveryFailure: recoveryFailure,
		Answers:         w.oracle.answers,
	}
}

// planCalls schedules submissions of a few keys at random times.
func (w *world) planCalls(length time.Duration) {
	keys := 1 + w.choices.IntN(maxKeys)
	for range 4 + w.choices.IntN(12) {
		key := w.choices.IntN(keys)
		w.After(virtual.Between(w.choices, 0, length), func() { w.submitAnywhere(key) })
	}
}

// planFaults schedules faults at random times.
func (w *world) planFaults(length time.Duration) {
	for range w.choices.IntN(8) {
		kind := w.choices.IntN(faultKinds)
		at := w.instances[w.choices.IntN(len(w.instances))]
		duration := virtual.Between(w.choices, 50*time.Millisecond, length/2)
		w.After(virtual.Between(w.choices, 0, length), func() { w.startFault(kind, at, duration) })
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
	faultOtherOwner
	faultKinds
)

// startFault starts a fault and schedules its end.
func (w *world) startFault(kind int, at *instance, duration time.Duration) {
	during := func(flag *bool) {
		*flag = true
		w.After(duration, func() { *flag = false })
	}
	switch kind {
	case faultPause:
		at.pausedUntil = w.Now.Add(duration)
	case faultRestart:
		w.restarted = true
		at.restart()
	case faultOutage:
		during(&w.store.unavailable)
	case faultLostAnswers:
		during(&w.store.loseAnswers)
	case faultDelayedWrites:
		during(&w.store.delayWrites)
	case faultCutFromStore:
		during(&at.cutFromStore)
	case faultCutFromPeers:
		during(&at.cutFromPeers)
	case faultOtherOwner:
		at.owner = w.choices.IntN(len(w.instances))
	}
}

// checkRecovery ends every fault and checks that a new key runs and that its repeat at
// another instance gets the recorded answer. It describes what failed, if anything.
func (w *world) checkRecovery() string {
	w.serversFail, w.resubmit = false, false
	w.RunUntil(w.Now.Add(recoveryTime))
	*w.store = store{objects: w.store.objects, version: w.store.version}
	for _, i := range w.instances {
		i.cutFromStore, i.cutFromPeers = false, false
	}
	if problem := w.checkReleased(); problem != "" {
		return problem
	}
	const newKey = 1000
	const answerTime = 2 * time.Second
	for n, i := range w.instances {
		var got *call.Finish
		w.onAnswer = func(sub *submission, answer call.Finish) {
			if sub.key == newKey {
				got = &answer
			}
		}
		w.submit(i, &submission{key: newKey, at: w.Now})
		w.RunUntil(w.Now.Add(answerTime))
		if problem := checkNewKey(n, got); problem != "" {
			return problem
		}
	}
	return ""
}

// checkReleased submits each key for which nothing was ever sent. The refused
// submissions of such a key must not have left a claim behind, unless an instance
// was restarted or a fault lasted longer than the background work.
func (w *world) checkReleased() string {
	if w.restarted || w.retention == shortRetention {
		return ""
	}
	problem := ""
	for key := range maxKeys {
		if len(w.oracle.sends[key]) > 0 {
			continue
		}
		w.onAnswer = func(sub *submission, answer call.Finish) {
			if sub.key == key && answer.Fault != nil {
				problem = "key " + strconv.Itoa(key) + " was never sent but is refused: " + answer.Fault.Error()
			}
		}
		w.submit(w.instances[0], &submission{key: key, at: w.Now})
		w.RunUntil(w.Now.Add(time.Second))
	}
	return problem
}

func checkNewKey(n int, got *call.Finish) string {
	switch {
	case got == nil:
		return "no answer to submission " + strconv.Itoa(n)
	case got.Fault != nil:
		return "submission " + strconv.Itoa(n) + " was refused: " + fault.From(got.Fault).Error()
	case got.Replayed != (n > 0):
		return "submission " + strconv.Itoa(n) + " was wrongly run or replayed"
	}
	return ""
}
