// Package service is the HTTP client for plain services. It does not retry calls.
package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

const domain = "transport/service"

// dialTimeout is the longest time that opening a connection may take.
const dialTimeout = 2 * time.Second

// Request is one call to a backend server.
type Request struct {
	Operation string
	Key       string
	Body      []byte
}

// Client calls plain services. Each call has its own connection.
type Client struct {
	dialer           net.Dialer
	droppedResponses atomic.Int64
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout}}
}

// Call sends the request and reads the response. sent is false if no byte of the request can
// have reached the server. Errors are CallFailed, and AnswerCrossed for a response that does
// not echo the nonce of the request: it belongs to another request and is discarded. onConnect
// is called when the server has accepted the connection.
func (c *Client) Call(ctx context.Context, address string, call Request, onConnect func()) (result serving.CallResult, sent bool, err error) {
	nonce := fmt.Sprintf("%016x", rand.Uint64())
	request := newRequest(address, call, nonce)
	defer fasthttp.ReleaseRequest(request)
	exchange, sent, err := sse.PostNotify(ctx, &c.dialer, address, request, onConnect)
	if err != nil {
		return result, sent, fault.Wrap(fault.CallFailed, domain, "call "+address, err)
	}
	defer exchange.Close()
	if exchange.Header(engineapi.NonceHeader) != nonce {
		c.droppedResponses.Add(1)
		return result, true, fault.New(fault.AnswerCrossed, "the answer of "+address+" belongs to another request")
	}
	body, err := exchange.Body()
	if err != nil {
		return result, true, fault.Wrap(fault.CallFailed, domain, "read answer", err)
	}
	return serving.CallResult{
		Status:      exchange.Status(),
		ContentType: exchange.Header(fasthttp.HeaderContentType),
		Body:        body,
	}, true, nil
}

// DroppedResponses returns the number of responses that were discarded because they
// belonged to other requests. The connection of such a response is closed.
func (c *Client) DroppedResponses() int64 { return c.droppedResponses.Load() }

func newRequest(address string, call Request, nonce string) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/operations/" + call.Operation)
	request.Header.SetContentType("application/json")
	request.Header.Set(engineapi.NonceHeader, nonce)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	request.SetConnectionClose()
	request.SetBodyRaw(call.Body)
	return request
}
