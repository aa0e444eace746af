package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
)

// Times after which clients may come again.
const (
	// unknownConfigurationRetry follows the time in which the store is tried
	// again.
	unknownConfigurationRetry = 500 * time.Millisecond
	// noServerRetry is about the time until a restarted server is known.
	noServerRetry = 400 * time.Millisecond
	// stoppingRetry leaves the balancer time to notice other instances that stop
	// now, and the client enough time for its answer.
	stoppingRetry = 600 * time.Millisecond
	// longerRetry is for callers whose time is too short: they may come at once
	// with more.
	longerRetry = 500 * time.Millisecond
	// bodiesRetry is about the time in which calls with large bodies are read and
	// answered.
	bodiesRetry = 300 * time.Millisecond
	// busyRetry is about the time of one queued call.
	busyRetry = 60 * time.Millisecond
)

// ownAnswer is an answer that comes from no backend server.
type ownAnswer struct {
	status int
	code   fault.Code
	cause  error
	// retryAfter is sent when it is positive.
	retryAfter time.Duration
	// version is the configuration that decided it, 0 when none did.
	version uint64
}

// reject answers a request whose route is known.
func (f *Forwarder) reject(j *job, answer ownAnswer) {
	answer.version = j.table.Version
	f.answer(j.exchange, j.request.ID, answer)
}

// answer sends an own answer and logs it.
func (f *Forwarder) answer(exchange *ingress.Exchange, id string, answer ownAnswer) {
	head := make([]byte, 0, 256)
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(answer.status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(answer.status)...)
	head = append(head, "\r\nContent-Type: application/json\r\n"...)
	head = f.protocol.AppendIdentity(head, id)
	if answer.retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		head = strconv.AppendFloat(head, answer.retryAfter.Seconds(), 'f', 3, 64)
		head = append(head, "\r\n"...)
	}
	body := []byte(`{"code":"` + string(answer.code) + `"}`)
	err := exchange.Answer(head, body)
	f.meters.rejected(answer.code)
	event.Log(f.logger, event.RequestRejected).Str("request", id).Int("status", answer.status).Str("code", string(answer.code)).
		Uint64("version", answer.version).Dur("after_ms", time.Since(exchange.Received)).
		Dur("retry_after_ms", answer.retryAfter).AnErr("cause", answer.cause).AnErr("write", err).Send()
}
