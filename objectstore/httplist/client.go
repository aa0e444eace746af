// Package httplist is the HTTP client for the platform's instance list.
package httplist

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	domain      = "platform/httplist"
	callTimeout = 3 * time.Second
)

// Client reads the instance list. It does not retry.
type Client struct {
	url    string
	client *fasthttp.Client
}

// New returns a client for the list at a base URL.
func New(base string) *Client {
	return &Client{
		url: strings.TrimSuffix(base, "/") + objectstore.InstancesPath,
		client: &fasthttp.Client{
			Dial:                      http1.StrictDial(fasthttp.Dial),
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       64 << 20,
		},
	}
}

// List returns the current entries of the instance list. Errors: PlatformUnavailable,
// PlatformRateLimited.
func (c *Client) List(context.Context) ([]objectstore.Instance, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.url)
	if err := c.client.DoTimeout(request, response, callTimeout); err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, domain, "no answer", err)
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusTooManyRequests:
		return nil, fault.New(fault.PlatformRateLimited, "the platform's rate limit was reached")
	default:
		return nil, fault.New(fault.PlatformUnavailable, "status "+strconv.Itoa(status))
	}
	var list objectstore.InstanceList
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, fault.Wrap(fault.PlatformUnavailable, domain, "decode answer", err)
	}
	return list.Instances, nil
}
