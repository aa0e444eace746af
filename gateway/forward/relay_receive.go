package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// maxFailedServers is the maximum number of failed servers that a peer is told.
const maxFailedServers = 32

// relayHeaderBytes is the size of the header fields that a peer adds to a client's request.
const relayHeaderBytes = 4 << 10

// relayCheckMethod is the method of a peer's check whether this instance answers.
const relayCheckMethod = "OPTIONS"

// RelayHandler serves the requests that peers hand over.
type RelayHandler struct{ f *Forwarder }

// RelayHandler returns the handler of requests that peers hand over.
func (f *Forwarder) RelayHandler() RelayHandler { return RelayHandler{f} }

// Limits implements ingress.Handler.
func (h RelayHandler) Limits() route.Limits {
	limits := h.f.Limits()
	limits.HeaderBytes += relayHeaderBytes
	return limits
}

// Reject implements ingress.Handler.
func (h RelayHandler) Reject(exchange *ingress.Exchange, cause *http1.ProtocolError) {
	exchange.Relayed = true
	h.f.Reject(exchange, cause)
}

// Overloaded implements ingress.Handler.
func (h RelayHandler) Overloaded(exchange *ingress.Exchange, cause error) {
	exchange.Relayed = true
	h.f.Overloaded(exchange, cause)
}

// Failed implements ingress.Handler.
func (h RelayHandler) Failed(exchange *ingress.Exchange) { h.f.Failed(exchange) }

// Serve implements ingress.Handler. A request that this instance can't serve is rejected at once, so that the
// peer hands it to another instance.
func (h RelayHandler) Serve(ctx context.Context, exchange *ingress.Exchange) {
	f := h.f
	exchange.Relayed = true
	if exchange.Head.Method == relayCheckMethod && exchange.Head.Fields.Count("Content-Length") == 0 && exchange.Head.Target == "/" {
		_ = exchange.Answer([]byte("HTTP/1.1 204 No Content\r\n"), nil) // The peer checks again.
		return
	}
	relay, err := f.protocol.ParseRelay(exchange.Head)
	if err != nil {
		var protocol *http1.ProtocolError
		errors.As(err, &protocol)
		f.Reject(exchange, protocol)
		return
	}
	id := ""
	if request, err := f.protocol.ParseRequest(exchange.Head); err == nil {
		id = request.ID
	}
	event.Log(f.logger, event.RelayReceived).Str("request", id).Str("peer", relay.From).Int("used_attempts", relay.UsedAttempts).Send()
	f.meters.count("relay.received")
	defer f.relays.received.Add(-1)
	if f.relays.received.Add(1) > f.relays.limit.Load() {
		f.refuseRelayed(exchange, id, fault.RelayedRequestsFull, busyRetryAfter)
		return
	}
	if f.stop.Load() != nil {
		f.refuseRelayed(exchange, id, fault.InstanceStopping, stoppingRetryAfter)
		return
	}
	f.serve(ctx, exchange, &relay)
}

// refuseRelayed rejects a request that a peer hands over.
func (f *Forwarder) refuseRelayed(exchange *ingress.Exchange, id string, code fault.Code, retryAfter time.Duration) {
	f.meters.count("relay.refused")
	f.answer(exchange, id, localAnswer{status: 503, code: code, retryAfter: retryAfter})
}

// chooseService returns the service of a request: that which the peer chose, if the route offers it.
func (j *job) chooseService() string {
	if j.relayed != nil && j.route.Offers(j.relayed.Service) {
		return j.relayed.Service
	}
	return j.route.ChooseService(rand.Float64())
}

// usedAttempts returns the number of servers that count as those that may have run the request for the peer
// that handed it over.
func (j *job) usedAttempts() int {
	if j.relayed == nil {
		return 0
	}
	return j.relayed.UsedAttempts
}

var _ ingress.Handler = RelayHandler{}

// relayMessage returns what this instance states about a request that it hands to a peer.
func (j *job) relayMessage(instance string, used int) message.Relay {
	return message.Relay{From: instance, UsedAttempts: used, FailedServers: j.failedServers[max(0, len(j.failedServers)-maxFailedServers):], Service: j.service, Remaining: j.remaining()}
}
