package overflow_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	decision "github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/overflow"
)

// rules allows every data centre but the forbidden one and counts bytes.
type rules struct {
	forbidden string
	bytes     int
}

func (r *rules) Allowed(serving.RouteRequest) func(string, string) bool {
	return func(dataCentre, _ string) bool { return dataCentre != r.forbidden }
}

func (r *rules) CountCrossRegion(_ string, bytes int) { r.bytes += bytes }

// instance starts an HTTP server as entry instance and returns its address.
func instance(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handle, NoDefaultDate: true}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown(); _ = listener.Close(); <-done })
	return listener.Addr().String()
}

func forwarder(r *rules, peers ...decision.Peer) *overflow.Forwarder {
	return overflow.New("d0", "r0", r, func() []decision.Peer { return peers })
}

func forward(f *overflow.Forwarder, hops int) (string, error) {
	answer, err := f.Forward(context.Background(), serving.OverflowRequest{
		Account: estate.ClientAccount{Name: "a"}, Hops: hops, Body: []byte("body"),
		Headers: map[string]string{fasthttp.HeaderAuthorization: "Bearer key"},
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func TestLocalRegionIsTriedFirstAndForwardedOnlyOnce(t *testing.T) {
	is := is.New(t)
	asked := 0
	full := instance(t, func(ctx *fasthttp.RequestCtx) {
		asked++
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "60")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	free := instance(t, func(ctx *fasthttp.RequestCtx) {
		parts := []string{string(ctx.PostBody()), string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), string(ctx.Request.Header.Peek(serving.HopsHeader))}
		ctx.SetBodyString(strings.Join(parts, " "))
	})
	r := &rules{}
	f := forwarder(r, decision.Peer{Instance: "far", DataCentre: "d2", Region: "r1", Address: free}, decision.Peer{Instance: "near", DataCentre: "d1", Region: "r0", Address: full})
	for range 2 {
		body, err := forward(f, 0)
		is.NoErr(err)
		is.Equal(body, "body Bearer key 1")
	}
	is.Equal(asked, 1) // the instance that refused is excluded for its Retry-After
	is.Equal(r.bytes, 2*len("body Bearer key 1"))
	_, err := forward(f, 1)
	is.True(fault.HasCode(err, fault.NoBackendServer)) // no second hop
	is.Equal(fault.From(err).Execution, fault.ExecutionNotRun)
}

func TestRulesExcludeDataCentres(t *testing.T) {
	is := is.New(t)
	address := instance(t, func(*fasthttp.RequestCtx) { t.Error("asked") })
	_, err := forward(forwarder(&rules{forbidden: "d1"}, decision.Peer{Instance: "near", DataCentre: "d1", Region: "r0", Address: address}), 0)
	is.True(fault.HasCode(err, fault.NoBackendServer))
}

func TestLostAnswerLeavesTheExecutionUnknown(t *testing.T) {
	is := is.New(t)
	address := instance(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() })
	_, err := forward(forwarder(&rules{}, decision.Peer{Instance: "near", DataCentre: "d1", Region: "r0", Address: address}), 0)
	is.Equal(fault.From(err).Execution, fault.ExecutionUnknown)
}
