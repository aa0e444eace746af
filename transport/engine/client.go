package engine

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

const domain = "transport/engine"

// Times of an engine connection.
const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 3 * time.Second
)

// Client opens streams on engines.
type Client struct {
	dialer net.Dialer
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout}}
}

// Open sends the request on a new connection and waits for the answer's
// header. Cancelling the context closes the connection at any time. Errors
// are *fault.Error: EngineUnreachable, EngineStreamUnknown for a resume of a
// lost stream, NoBackendServer for a refusal, EngineProtocol otherwise.
func (c *Client) Open(ctx context.Context, address string, request engineapi.CompletionRequest) (*Stream, error) {
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
	exchange, _, err := sse.Post(ctx, &c.dialer, address, message)
	if err != nil {
		return nil, fault.Wrap(fault.EngineUnreachable, domain, "open stream at "+address, err)
	}
	if err := statusError(exchange.Status(), address); err != nil {
		exchange.Close()
		return nil, err
	}
	return &Stream{exchange: exchange}, nil
}

// statusError maps an engine's refusal to a typed error.
func statusError(status int, address string) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return fault.New(fault.EngineStreamUnknown, "engine "+address+" does not hold the stream or model")
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return fault.New(fault.NoBackendServer, "engine "+address+" takes no new work")
	default:
		return fault.New(fault.EngineProtocol, "engine "+address+" answered with an unexpected status")
	}
}

// Cancel ends a stream on an engine. A stream that is gone is no error.
func (c *Client) Cancel(ctx context.Context, address, streamID string) error {
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
	request.SetConnectionClose()
	if err := fasthttp.DoDeadline(request, response, deadline); err != nil {
		return fault.Wrap(fault.EngineUnreachable, domain, "cancel stream "+streamID, err)
	}
	return nil
}
