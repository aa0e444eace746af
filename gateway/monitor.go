package gateway

import (
	"bytes"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
)

// metricsPath is where counters and histograms are served as text.
const metricsPath = "/metrics"

// monitor answers the balancer's readiness checks and serves the metrics.
type monitor struct {
	gateway *Gateway
	server  *fasthttp.Server
}

func newMonitor(g *Gateway) *monitor {
	m := &monitor{gateway: g}
	m.server = &fasthttp.Server{
		Handler:               g.contained(m.handle),
		NoDefaultServerHeader: true,
		// Requests are small; larger ones are rejected.
		MaxRequestBodySize: 1 << 10,
		ReadBufferSize:     4 << 10,
	}
	return m
}

// contained returns a handler that answers 500 to a request in whose code an unexpected error occurred.
func (g *Gateway) contained(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if g.guard.Run("request", func() { handler(ctx) }) {
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
}

func (m *monitor) start() error {
	gatewaySettings := m.gateway.settings.Gateway
	readinessListener, err := m.gateway.listen("readiness", gatewaySettings.Readiness)
	if err != nil {
		return err
	}
	metricsListener, err := m.gateway.listen("metrics", gatewaySettings.Metrics)
	if err != nil {
		return err
	}
	peersListener, err := m.gateway.listen("peers", gatewaySettings.Peers)
	if err != nil {
		return err
	}
	peersServer := &fasthttp.Server{Handler: m.gateway.contained(m.gateway.peers.Handler()), NoDefaultServerHeader: true, MaxRequestBodySize: 1 << 10}
	for _, serve := range []func() error{
		func() error { return m.server.Serve(readinessListener) },
		func() error { return m.server.Serve(metricsListener) },
		func() error { return peersServer.Serve(peersListener) },
	} {
		// Serve returns when its listener is closed, as the process stops.
		go func() { _ = serve() }()
	}
	return nil
}

func (m *monitor) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case m.gateway.adapters.Protocol.ReadinessPath():
		if !m.gateway.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case metricsPath:
		var text bytes.Buffer
		metrics.WriteOnce(m.gateway.metrics, &text)
		ctx.SetBody(text.Bytes())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// updateStoreGauges sets how long the store has not answered each watch of this instance, and how long the list of
// backend servers has differed from that of a relay, in milliseconds.
func (g *Gateway) updateStoreGauges(now time.Time) {
	for _, watch := range discovery.Watches {
		metrics.GetOrRegisterGauge("store.unanswered_ms."+watch, g.metrics).Update(g.follower.Unanswered(watch, now).Milliseconds())
	}
	metrics.GetOrRegisterGauge("servers.differ_ms", g.metrics).Update(g.peers.ServersDifference(now).Milliseconds())
}
