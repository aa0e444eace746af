package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
)

// Retry-After times of rejected requests.
const (
	// noConfigurationRetryAfter follows the interval of queries to the store.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// noServerRetryAfter is about the time until a restarted server is discovered.
	noServerRetryAfter = 400 * time.Millisecond
	// stoppingRetryAfter gives the balancer time to detect other instances that
	// stop at the same time, and leaves the client enough time for its answer.
	stoppingRetryAfter = 600 * time.Millisecond
	// tooLittleTimeRetryAfter is for clients whose remaining time is too short:
	// they may retry at once with a longer timeout.
	tooLittleTimeRetryAfter = 500 * time.Millisecond
	// bodiesFullRetryAfter is about the time to read and answer calls with large bodies.
	bodiesFullRetryAfter = 300 * time.Millisecond
	// busyRetryAfter is about the time that one queued call takes.
	busyRetryAfter = 60 * time.Millisecond
)

// localAnswer is an answer of the instance itself, not of a backend server.
type localAnswer struct {
	status int
	code   fault.Code
	cause  error
	// retryAfter is sent as Retry-After when it is positive.
	retryAfter time.Duration
	// version is that of the configuration that led to the answer, 0 for none.
	version uint64
}

// reject answers a request whose route is known.
func (f *Forwarder) reject(j *job, answer localAnswer) {
	answer.version = j.table.Version
	f.answer(j.exchange, j.request.ID, answer)
}

// answer sends an answer of the instance itself and logs it.
func (f *Forwarder) answer(exchange *ingress.Exchange, id string, answer localAnswer) {
	head := make([]byte, 0, 256)
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(answer.status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(answer.status)...)
	head = append(head, "\r\nContent-Type: application/json\r\n"...)
	head = f.protocol.AppendIdentity(head, id)
	if exchange.Relayed {
		head = f.protocol.AppendRelayAnswer(head, message.RelayAnswer{NotRun: answer.status != http.StatusBadGateway && answer.status != http.StatusGatewayTimeout})
	}
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
