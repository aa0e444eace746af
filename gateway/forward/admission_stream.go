package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// minRoomRetryAfter is the minimum time after which a refused client may return.
const minRoomRetryAfter = 100 * time.Millisecond

// roomRetryAfter returns when a refused client may return: when there is expected to be room, and a part of that later, so that
// not all return at once.
func roomRetryAfter(expected time.Duration) time.Duration {
	expected = max(expected, minRoomRetryAfter)
	return expected + rand.N(expected/4)
}

// admit waits until a server has room for a stream that has not begun anywhere. It reports whether the stream is sent; if not,
// it has ended the exchange.
func (r *streamRun) admit(ctx context.Context) bool {
	f, j := r.f, r.j
	if j.request.Position > 0 || j.origin.source != "" || r.binding.bound || r.unboundHere || !f.admissions.applies(j) {
		return true
	}
	runTime := f.streamDurations.upperEstimate()
	waiter := admission.Waiter{
		Cost: r.size.MemoryTokens, Target: j.route.TargetLatency, Remaining: j.remaining(),
		Needed: f.selector.minTimeToEnd(j.service, r.size.PromptTokens, j.request.OutputTokens, 0),
	}
	decided, answer, err := f.admissions.await(ctx, j, waiter, f.selector.usualStartInterval(r.service, r.size, runTime), r.findRoom)
	switch {
	case err != nil:
		r.cancelled(ctx)
	case answer != nil:
		f.reject(j, *answer)
	case decided.grant == nil:
		f.reject(j, localAnswer{status: 503, code: fault.NoRoomInTime, retryAfter: roomRetryAfter(decided.expected)})
	default:
		r.granted = decided.grant
		return true
	}
	return false
}

// findRoom looks for a server with room for the stream.
func (r *streamRun) findRoom(takes takesPlace) *grant {
	server, choice, usable := r.f.selector.chooseWithRoom(r.service, r.bindingForChoice(), r.size, r.j.hasFailed, takes)
	switch {
	case server == nil && usable:
		return nil
	case server == nil || !r.fits(choice.MinReadTokens):
		return &grant{release: func() {}}
	}
	load := placement.Load{Requests: 1, PrefillTokens: r.size.PromptTokens, MemoryTokens: r.size.MemoryTokens}
	return &grant{destination: destination{server: server, choice: choice}, release: r.f.selector.reserve(server.ID, load)}
}

// takeGranted returns the server at which room is kept for the stream, without one if there is none.
func (r *streamRun) takeGranted() destination {
	if r.granted == nil {
		return destination{}
	}
	return r.granted.destination
}

// releaseGranted ends the keeping of room: the stream's own load counts there now.
func (r *streamRun) releaseGranted() {
	if r.granted != nil {
		r.granted.release()
		r.granted = nil
	}
}
