// Package operatorclient sends the requests of operators to the operator
// listener of an entry instance and decodes the responses.
package operatorclient

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	domain = "operatorclient"
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 15 * time.Second
	// maxAnswerBytes bounds the size of a response.
	maxAnswerBytes = 64 << 20
)

// Client sends requests to the operator listener of one entry instance. It is
// safe for concurrent use.
type Client struct {
	address string
	token   string
	http    *fasthttp.Client
}

// New returns a client for the operator address "ip:port" of an instance.
func New(address, token string) *Client {
	return NewWithTransport(NewTransport(), address, token)
}

// NewTransport returns a transport that the clients of many instances share.
// It makes no retries.
func NewTransport() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      http1.StrictDial(fasthttp.Dial),
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// NewWithTransport returns a client over a shared transport.
func NewWithTransport(transport *fasthttp.Client, address, token string) *Client {
	return &Client{address: address, token: token, http: transport}
}

// Close closes the idle connections of the transport.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Execute runs one command. The error is CommandOutcomeUnknown when the response is
// lost or can't be read: repeat the command with the same id. A response that carries a failure
// is returned without an error; see Response.Err.
func (c *Client) Execute(ctx context.Context, request operatorapi.Request) (operatorapi.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return operatorapi.Response{}, fault.Wrap(fault.Internal, domain, "encode the request", err)
	}
	var response operatorapi.Response
	err = c.call(ctx, fasthttp.MethodPost, operatorapi.CommandPath, body, &response)
	return response, err
}

// Dump returns the state of the instance with its newest decisions.
func (c *Client) Dump(ctx context.Context, decisions int) (dump.Instance, error) {
	var state dump.Instance
	query := url.Values{operatorapi.DecisionsArgument: {strconv.Itoa(decisions)}}
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.DumpPath+"?"+query.Encode(), nil, &state)
	return state, err
}

// DumpAbout returns the state of the instance with its recorded decisions about a
// subject or a backend server.
func (c *Client) DumpAbout(ctx context.Context, name string) (dump.Instance, error) {
	var state dump.Instance
	query := url.Values{operatorapi.AboutArgument: {name}}
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.DumpPath+"?"+query.Encode(), nil, &state)
	return state, err
}

// PeerDump returns the state of another instance, requested by this one.
func (c *Client) PeerDump(ctx context.Context, instance string) (dump.Instance, error) {
	var state dump.Instance
	query := url.Values{operatorapi.PeerArgument: {instance}}
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.DumpPath+"?"+query.Encode(), nil, &state)
	return state, err
}

// Dumps returns the states of all instances with their newest decisions.
func (c *Client) Dumps(ctx context.Context, decisions int) (dump.Estate, error) {
	var states dump.Estate
	query := url.Values{operatorapi.DecisionsArgument: {strconv.Itoa(decisions)}}
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.DumpsPath+"?"+query.Encode(), nil, &states)
	return states, err
}

// Metrics returns the metrics of the instance as JSON.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	var metrics json.RawMessage
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.MetricsPath, nil, &metrics)
	return metrics, err
}

// Revision returns the revision in force on the instance.
func (c *Client) Revision(ctx context.Context) (operatorapi.InstanceRevision, error) {
	var revision operatorapi.InstanceRevision
	err := c.call(ctx, fasthttp.MethodGet, operatorapi.RevisionPath, nil, &revision)
	return revision, err
}

// call sends one request and decodes the response. The error of a refused GET
// request is a *fault.Error; the response to a command holds its failure.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	request.SetBodyRaw(body)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(callTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return lostAnswer(method, err)
	}
	if method == fasthttp.MethodGet && response.StatusCode() != fasthttp.StatusOK {
		return decodeFailure(response.Body())
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return unreadableAnswer(method, err)
	}
	return nil
}

// unreadableAnswer returns the error of a response that can't be decoded: CommandOutcomeUnknown for a command, of whose
// response it may be a part, PeerMessage otherwise.
func unreadableAnswer(method string, cause error) error {
	if method == fasthttp.MethodPost {
		return lostAnswer(method, cause)
	}
	return fault.Wrap(fault.PeerMessage, domain, "decode the response", cause)
}

// lostAnswer returns the error of an exchange without a response:
// CommandOutcomeUnknown for a command, which may have run, PeerUnreachable otherwise.
func lostAnswer(method string, cause error) error {
	if method == fasthttp.MethodPost {
		return fault.Wrap(fault.CommandOutcomeUnknown, domain, "the response of the instance was lost", cause)
	}
	return fault.Wrap(fault.PeerUnreachable, domain, "the instance did not answer", cause)
}

func decodeFailure(body []byte) error {
	var failure operatorapi.Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Code == "" {
		return fault.New(fault.PeerMessage, "the response is not one of an operator listener")
	}
	return failure.Err()
}
