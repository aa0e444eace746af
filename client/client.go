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

// domain is the domain of the errors that this package wraps.
const domain = "client"

// The time limit of a connection attempt, and the least wait before a retry.
const (
	dialTimeout    = 2 * time.Second
	reconnectDelay = 50 * time.Millisecond
)

// Options configure a client.
type Options struct {
	// Addresses are the callers' addresses of entry instances, "ip:port".
	Addresses []string
	// Key is the bearer key of the client account.
	Key string
}

// Client sends generations and calls to the entry instances in turn. It is safe
// for concurrent use.
type Client struct {
	options   Options
	dialer    net.Dialer
	nextIndex atomic.Uint64
}

// New returns a client. It connects at the first request.
func New(options Options) *Client {
	return &Client{options: options, dialer: net.Dialer{Timeout: dialTimeout}}
}

// nextAddress returns the address of the next instance in turn.
func (c *Client) nextAddress() string {
	index := c.nextIndex.Add(1) - 1
	return c.options.Addresses[index%uint64(len(c.options.Addresses))]
}

// newRequest returns a POST request with the client's bearer key. The caller
// must release it.
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

// answerError reads the typed error from the answer to a refused request.
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
