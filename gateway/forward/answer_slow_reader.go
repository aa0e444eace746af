package forward

import (
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const (
	// endMargin is the time after a stream's deadline until which a write may block: the answer that it has passed is still sent.
	endMargin = 200 * time.Millisecond
	// unreadTime is the time for which a write to the client blocks after which its server may have cut off the answer that it
	// couldn't send. Servers wait for some seconds.
	unreadTime = time.Second
	// unreadMargin is how long after such a write the end of the server's connection is due to it.
	unreadMargin = time.Second
)

// slowReader records how a client reads its stream.
type slowReader struct {
	// heldBackAt is the end of the last write that blocked for unreadTime; zero for none.
	heldBackAt time.Time
}

// wrote records a write.
func (s *slowReader) wrote(begun, ended time.Time) {
	if ended.Sub(begun) >= unreadTime {
		s.heldBackAt = ended
	}
}

// unread reports whether an attempt ended because of its client: the client didn't take the answer, or the server cut off what
// wasn't read meanwhile. Its server has not failed then.
func (a *streamAttempt) unread(result *streamResult) bool {
	if errors.Is(result.err, errClientWrite) {
		return true
	}
	heldBackAt := a.run.slow.heldBackAt
	return result.code == fault.UpstreamBroken && !heldBackAt.IsZero() && time.Since(heldBackAt) < unreadMargin
}

// abandonSlow ends a stream that its client doesn't take. A part of an event may have been sent, so that nothing may follow on
// the connection; the client may resume after the last event that it has.
func (r *streamRun) abandonSlow(result *streamResult) {
	r.j.exchange.Abort()
	r.f.meters.count("requests.client_too_slow")
	event.Log(r.f.logger, event.ClientTooSlow).Str("request", r.j.request.ID).Str("route", r.j.route.Name).Str("server", result.server.ID).
		Uint64("position", r.events.position).Int("sends", r.j.sends).Dur("after_ms", time.Since(r.j.exchange.Received)).AnErr("cause", result.err).Send()
}
