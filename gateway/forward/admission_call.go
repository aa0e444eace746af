package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
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
		r.granted = decided.grant
		return true
	}
	return false
}

// findRoom looks for a server with room for the call.
func (r *callRun) findRoom(takes takesPlace) *grant {
	server, _, usable := r.f.selector.chooseWithRoom(r.service, versionBinding{choice: r.f.versionChoice(r.service, r.j)}, placement.Generation{LeaveKey: r.leaveKey()}, r.j.hasFailed, takes)
	if server == nil {
		if usable {
			return nil
		}
		return &grant{release: func() {}}
	}
	return &grant{destination: destination{server: server}, release: r.f.selector.reserve(server.ID, placement.Load{Requests: 1})}
}

// takeGranted returns the server at which room is kept for the call and ends the keeping; nil if there is none.
func (r *callRun) takeGranted() *directory.Server {
	granted := r.granted
	if granted == nil {
		return nil
	}
	r.granted = nil
	granted.release()
	return granted.server
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
