package killingrequest

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// submitAnywhere sends a request to a random instance. The caller of a poison
// request sends it again because no answer arrives.
func (w *world) submitAnywhere(r *request) {
	w.nextID++
	j := &job{id: w.nextID, request: r, at: w.instances[w.choices.IntN(len(w.instances))]}
	w.attempt(j)
	if r.poison {
		w.scheduleSecondSend(r)
	}
}

// scheduleSecondSend schedules the next submission of a poison request; the earlier one
// may still be in flight then.
func (w *world) scheduleSecondSend(r *request) {
	if r.secondSends == 0 {
		return
	}
	r.secondSends--
	w.After(virtual.Between(w.choices, w.settings.MinSecondSendDelay, 5*w.settings.MinSecondSendDelay), func() { w.submitAnywhere(r) })
}

// attempt runs, defers or refuses a submission as the instance's tracker decides.
func (w *world) attempt(j *job) {
	verdict := j.at.tracker.Check(w.Now, j.request.fingerprint, strconv.Itoa(j.id))
	switch verdict.Action {
	case quarantine.Refuse:
		w.refuse(j)
	case quarantine.Wait:
		w.deferAttempt(j, verdict.NextCheckAt)
	default:
		w.start(j, verdict.Action == quarantine.RunIsolated)
	}
}

func (w *world) refuse(j *job) {
	j.ended = true
	if j.request.poison {
		w.result.PoisonRefused++
		return
	}
	w.result.HarmlessRefused++
}

// deferAttempt schedules the next check of a submission, for at most maxDeferral in total.
func (w *world) deferAttempt(j *job, until time.Time) {
	if j.deferredSince.IsZero() {
		j.deferredSince = w.Now
	}
	if w.Now.Sub(j.deferredSince) > maxDeferral {
		j.ended = true
		if !j.request.poison {
			w.result.HarmlessDeferred++
		}
		return
	}
	w.After(until.Sub(w.Now), func() { w.attempt(j) })
}

// start runs a submission on a server that is up. An isolated submission runs only
// on a server where the instance runs no other suspect.
func (w *world) start(j *job, isolated bool) {
	var choices []*server
	for _, s := range w.servers {
		if s.up && (!isolated || j.at.isolated[s] == 0) {
			choices = append(choices, s)
		}
	}
	if len(choices) == 0 {
		w.After(noServerRetryDelay, func() { w.attempt(j) })
		return
	}
	s := choices[w.choices.IntN(len(choices))]
	j.server, j.isolated, j.deferredSince = s, isolated, time.Time{}
	if isolated {
		j.at.isolated[s]++
	}
	s.running[j.id] = j
	j.at.tracker.Started(w.Now, j.request.fingerprint, strconv.Itoa(j.id), s.name)
	j.at.tracker.Reached(w.Now, strconv.Itoa(j.id), s.name)
	boot := s.boot
	stillRunning := func() bool { return s.up && s.boot == boot && s.running[j.id] == j }
	if j.request.poison {
		w.After(j.request.crashAfter, func() {
			if stillRunning() {
				w.result.CrashesPerPoisonRequest[j.request.fingerprint]++
				w.failServer(s)
			}
		})
		return
	}
	w.After(j.request.duration, func() {
		if stillRunning() {
			w.finish(j)
		}
	})
}

func (w *world) finish(j *job) {
	delete(j.server.running, j.id)
	j.at.tracker.Ended(w.Now, strconv.Itoa(j.id), j.server.name)
	w.release(j)
	j.ended = true
	j.request.answered = true
	w.result.Answered++
}

// release ends the isolation of a submission on its server.
func (w *world) release(j *job) {
	if j.isolated {
		j.at.isolated[j.server]--
		j.isolated = false
	}
}
