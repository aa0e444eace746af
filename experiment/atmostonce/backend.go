package atmostonce

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// unansweredTimeout is the time after which an attempt without an answer ends.
const unansweredTimeout = 2 * time.Second

// dispatch sends a call to a simulated backend server, which may refuse the
// connection, run the call, and lose or delay its answer.
func (i *instance) dispatch(callID int, sub *submission, dispatch call.Dispatch) {
	w := i.world
	ended := func(delay time.Duration, ending call.Ending, outcome claim.Outcome) {
		i.deliver(delay, func() {
			i.stepCall(callID, call.AttemptEnded{Attempt: dispatch.Attempt, Ending: ending, Outcome: outcome})
		})
	}
	if w.serversFail && virtual.OneIn(w.choices, 5) {
		ended(2*time.Millisecond, call.NeverSent, claim.Outcome{})
		return
	}
	w.oracle.sent(sub.key, w.Now)
	w.recordSendDelay(sub)
	if w.serversFail && virtual.OneIn(w.choices, 10) {
		// The call is lost in transit or its server crashes while running it.
		ended(unansweredTimeout, call.Unanswered, claim.Outcome{})
		return
	}
	w.After(time.Millisecond, func() {
		run := w.oracle.run(sub.key, w.Now)
		outcome := claim.Outcome{Status: 200, ContentType: "text/plain", Body: []byte(runBody(sub.key, run))}
		if w.serversFail && virtual.OneIn(w.choices, 6) {
			ended(unansweredTimeout, call.Unanswered, claim.Outcome{})
			return
		}
		delay := 5 * time.Millisecond
		if w.serversFail && virtual.OneIn(w.choices, 6) {
			delay = virtual.Between(w.choices, 10*time.Millisecond, 4*time.Second)
		}
		ended(delay, call.Answered, outcome)
	})
}

// runBody returns the answer body of one run of a key.
func runBody(key, run int) string {
	return "key " + strconv.Itoa(key) + " run " + strconv.Itoa(run)
}

func noServer() *fault.Error {
	return fault.New(fault.NoBackendServer, "no server is up")
}
