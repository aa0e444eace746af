package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// usualCallTime is about the time that a server works on a call.
const usualCallTime = 30 * time.Millisecond

// admit waits until a server has room for a call. It reports whether the call is sent; if not, it has ended the exchange.
// A call for which there is no room in time is sent nevertheless while a server's own queue is short enough.
func (r *callRun) admit(ctx context.Context) bool {
	f, j := r.f, r.j
	if !f.admissions.applies(j) {
		return true
	}
	waiter := admission.Waiter{Cost: 1, Target: j.route.TargetLatency, Remaining: j.remaining(), Needed: minSendTime}
	usual := f.selector.usualStartInterval(r.service, placement.Generation{}, usualCallTime)
	decided, answer, err := f.admissions.await(ctx, j, waiter, usual, r.findRoom)
	switch {
	case err != nil:
		r.cancelled(ctx)
	case answer != nil:
		f.reject(j, *answer)
	case decided.grant == nil && f.selector.shortestCallQueue(r)+minSendTime > j.remaining()/2:
		f.reject(j, localAnswer{status: 503, code: fault.NoRoomInTime, retryAfter: roomRetryAfter(decided.expected)})
	default:
		return true
	}
	return false
}

// findRoom returns room if any server has it. The server is chosen when the call is sent: the queue of a near one may be shorter
// than the way to one with room.
func (r *callRun) findRoom(takes takesPlace) *grant {
	binding := r.f.callBinding(r.j)
	if server, _, usable := r.f.selector.chooseWithRoom(r.service, binding, placement.Generation{LeaveKey: r.leaveKey()}, r.j.hasFailed, takes); server == nil && usable {
		return nil
	}
	return &grant{release: func() {}}
}

// shortestCallQueue returns the time that a call waits at the server with the shortest queue.
func (s *selector) shortestCallQueue(r *callRun) time.Duration {
	ready := s.ready(r.service, versionBinding{})
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(-1)
	for _, server := range ready {
		_, all := s.ledger.LoadAt(server.ID)
		queue := time.Duration(max(0, all.Requests+1-server.Slots)) * usualCallTime / time.Duration(max(1, server.Slots))
		if shortest < 0 || queue < shortest {
			shortest = queue
		}
	}
	return max(0, shortest)
}
