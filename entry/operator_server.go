package entry

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// operatorServer serves probes, dumps and metrics.
type operatorServer struct {
	entry *Entry
	http  *fasthttp.Server
}

func newOperatorServer(entry *Entry) *operatorServer {
	server := &operatorServer{entry: entry}
	server.http = &fasthttp.Server{Name: "wisteriahaven-operator", Handler: server.handle, CloseOnShutdown: true}
	return server
}

func (s *operatorServer) serve(listener net.Listener) error { return s.http.Serve(listener) }

func (s *operatorServer) shutdown() { _ = s.http.Shutdown() }

func (s *operatorServer) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/live":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case "/v1/ready":
		if !s.entry.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/v1/metrics":
		writeJSON(ctx, s.entry.metrics)
	case "/v1/dump":
		writeJSON(ctx, s.entry.Dump())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
