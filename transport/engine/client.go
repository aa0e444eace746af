package engine

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

const domain = "transport/engine"

// Timeouts of a connection to an engine.
const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 3 * time.Second
)

// Client opens and cancels streams on engines and sends orders to them.
type Client struct {
	dialer net.Dialer
	// http sends orders and cancellations.
	http *fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout}, http: &fasthttp.Client{Dial: http1.StrictDial(fasthttp.Dial)}}
}

// Open sends the request on a new connection and waits for the response header. Cancelling the
// context closes the connection at any time, also while the stream is read. Errors are
// *fault.Error: EngineUnreachable, EngineStreamUnknown if the engine does not hold the stream
// to resume, NoBackendServer for a refusal, EngineProtocol otherwise. onConnect is called when the
// engine has accepted the connection.
func (c *Client) Open(ctx context.Context, address string, request engineapi.CompletionRequest, onConnect func()) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, domain, "encode request", err)
	}
	message := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(message)
	message.Header.SetMethod(fasthttp.MethodPost)
	message.SetRequestURI("http://" + address + "/v1/completions")
	message.Header.SetContentType("application/json")
	message.SetBodyRaw(body)
	exchange, sent, err := sse.PostNotify(ctx, &c.dialer, address, message, onConnect)
	if err != nil {
		return nil, unreachableError(address, sent, err)
	}
	if err := statusError(exchange.Status(), address); err != nil {
		exchange.Close()
		return nil, err
	}
	return newStream(exchange, len(body)), nil
}

// unreachableError returns the error for a connection that could not be opened or failed before the
// response header. Its execution states whether the engine may have run the request.
func unreachableError(address string, sent bool, cause error) error {
	execution := fault.ExecutionNotRun
	if sent {
		execution = fault.ExecutionUnknown
	}
	return fault.Wrap(fault.EngineUnreachable, domain, "open stream at "+address, cause).WithExecution(execution)
}

// statusError maps the status of an engine's response to a typed error, nil for status 200.
func statusError(status int, address string) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return fault.New(fault.EngineStreamUnknown, "engine "+address+" does not hold the stream or model")
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return fault.New(fault.NoBackendServer, "engine "+address+" takes no new work")
	default:
		return fault.New(fault.EngineProtocol, "engine "+address+" responded with an unexpected status")
	}
}

// Reachable reports whether the engine accepts connections.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Cancel ends a stream on an engine; with onlyIdle, the engine ends it only if no
// connection reads it. A stream that has already ended, or that continues because
// it is read, is not an error. Errors are EngineUnreachable.
func (c *Client) Cancel(ctx context.Context, address, streamID string, onlyIdle bool) error {
	deadline := time.Now().Add(requestTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/streams/" + streamID + "/cancel")
	if onlyIdle {
		request.URI().QueryArgs().Set(engineapi.IdleParameter, "true")
	}
	request.SetConnectionClose()
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return fault.Wrap(fault.EngineUnreachable, domain, "cancel stream "+streamID, err)
	}
	return nil
}
