package client

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

const domain = "client"

// Times of the client.
const (
	dialTimeout    = 2 * time.Second
	reconnectPause = 50 * time.Millisecond
)

// Options configure a client.
type Options struct {
	// Addresses are the callers' addresses of entry instances, "ip:port".
	Addresses []string
	// Key is the bearer key of the client account.
	Key string
}

// Client talks to the entry instances. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	next    atomic.Uint64
}

// New returns a client.
func New(options Options) *Client {
	return &Client{options: options, dialer: net.Dialer{Timeout: dialTimeout}}
}

// address returns the instances in turn.
func (c *Client) address() string {
	index := c.next.Add(1) - 1
	return c.options.Addresses[index%uint64(len(c.options.Addresses))]
}

// newRequest prepares a POST with the client's key.
func (c *Client) newRequest(address, path, idempotencyKey string, body []byte) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Key)
	if idempotencyKey != "" {
		request.Header.Set(caller.IdempotencyKeyHeader, idempotencyKey)
	}
	request.SetBodyRaw(body)
	return request
}

// answerError reads a typed error from a refused request.
func answerError(exchange *sse.Exchange) error {
	body, err := exchange.Body()
	if err != nil {
		return fault.Wrap(fault.EngineUnreachable, domain, "read error answer", err)
	}
	return decodeError(body)
}

func decodeError(data []byte) error {
	var body caller.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fault.Wrap(fault.MalformedBody, domain, "decode error answer", err)
	}
	return &fault.Error{
		Code:       body.Error.Code,
		Field:      body.Error.Field,
		Reason:     body.Error.Message,
		Execution:  body.Error.Execution,
		RetryAfter: time.Duration(body.Error.RetryAfterMillis) * time.Millisecond,
	}
}
