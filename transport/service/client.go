// Package service is the HTTP client for plain services.
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

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// Request is one call to a backend server.
type Request struct {
	Operation string
	Key       string
	Body      []byte
}

// Client calls plain services. Each call has a connection of its own.
type Client struct {
	dialer  net.Dialer
	dropped atomic.Int64
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{dialer: net.Dialer{Timeout: dialTimeout}}
}

// Call sends the request and reads its answer. sent is false when nothing can
// have reached the server. An answer that does not echo the nonce is dropped.
func (c *Client) Call(ctx context.Context, address string, call Request) (result serving.CallResult, sent bool, err error) {
	nonce := fmt.Sprintf("%016x", rand.Uint64())
	request := newRequest(address, call, nonce)
	defer fasthttp.ReleaseRequest(request)
	exchange, sent, err := sse.Post(ctx, &c.dialer, address, request)
	if err != nil {
		return result, sent, fault.Wrap(fault.CallFailed, domain, "call "+address, err)
	}
	defer exchange.Close()
	if exchange.Header(engineapi.NonceHeader) != nonce {
		c.dropped.Add(1)
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

// Dropped returns how many answers belonged to other requests. The connection
// of such an answer is closed with it.
func (c *Client) DroppedResponses() int64 { return c.dropped.Load() }

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
