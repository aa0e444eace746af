package killingrequest

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// submitAnywhere sends a request to one of the instances. The caller of a
// killing request sends it again when no answer comes.
func (w *world) submitAnywhere(r *request) {
	w.nextID++
	j := &job{id: w.nextID, request: r, at: w.instances[w.choices.IntN(len(w.instances))]}
	w.attempt(j)
	if r.killer {
		w.planResend(r)
	}
}

// planResend sends a killing request again, while its earlier submission may
// still be under way.
func (w *world) planResend(r *request) {
	if r.resends == 0 {
		return
	}
	r.resends--
	w.After(virtual.Between(w.choices, w.settings.MinSecondSendDelay, 5*w.settings.MinSecondSendDelay), func() { w.submitAnywhere(r) })
}

// attempt runs a submission as the instance's book advises.
func (w *world) attempt(j *job) {
	verdict := j.at.book.Check(w.Now, j.request.fingerprint, strconv.Itoa(j.id))
	switch verdict.Action {
	case quarantine.Refuse:
		w.refuse(j)
	case quarantine.Wait:
		w.hold(j, verdict.NextCheckAt)
	default:
		w.start(j, verdict.Action == quarantine.RunIsolated)
	}
}

func (w *world) refuse(j *job) {
	j.over = true
	if j.request.killer {
		w.result.PoisonRefused++
		return
	}
	w.result.HarmlessRefused++
}

// hold checks a submission again later, for a bounded time.
func (w *world) hold(j *job, until time.Time) {
	if j.heldSince.IsZero() {
		j.heldSince = w.Now
	}
	if w.Now.Sub(j.heldSince) > maxHold {
		j.over = true
		if !j.request.killer {
			w.result.HarmlessDeferred++
		}
		return
	}
	w.After(until.Sub(w.Now), func() { w.attempt(j) })
}

// start runs a submission on a server that is up. An isolated one goes where
// the instance runs no other suspect.
func (w *world) start(j *job, isolated bool) {
	var choices []*server
	for _, s := range w.servers {
		if s.up && (!isolated || j.at.isolated[s] == 0) {
			choices = append(choices, s)
		}
	}
	if len(choices) == 0 {
		w.After(noServerPause, func() { w.attempt(j) })
		return
	}
	s := choices[w.choices.IntN(len(choices))]
	j.server, j.isolated, j.heldSince = s, isolated, time.Time{}
	if isolated {
		j.at.isolated[s]++
	}
	s.running[j.id] = j
	j.at.book.Started(w.Now, j.request.fingerprint, strconv.Itoa(j.id), s.name)
	boot := s.boot
	runs := func() bool { return s.up && s.boot == boot && s.running[j.id] == j }
	if j.request.killer {
		w.After(j.request.killAfter, func() {
			if runs() {
				w.result.CrashesPerPoisonRequest[j.request.fingerprint]++
				w.lose(s)
			}
		})
		return
	}
	w.After(j.request.duration, func() {
		if runs() {
			w.finish(j)
		}
	})
}

func (w *world) finish(j *job) {
	delete(j.server.running, j.id)
	j.at.book.Ended(w.Now, strconv.Itoa(j.id), j.server.name)
	w.release(j)
	j.over = true
	j.request.answered = true
	w.result.Answered++
}

// release gives back the isolation of a submission.
func (w *world) release(j *job) {
	if j.isolated {
		j.at.isolated[j.server]--
		j.isolated = false
	}
}
