package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const ordersPath = "/v1/orders"

// OrderState returns what an engine currently serves. Errors are
// EngineUnreachable and EngineProtocol.
func (c *Client) OrderState(ctx context.Context, address string) (engineapi.OrderState, error) {
	return c.callOrders(ctx, address, fasthttp.MethodGet, nil)
}

// Order sends an order to an engine and returns the engine's state after it.
// Errors are FencingRejected if the engine has accepted a higher fencing token,
// EngineUnreachable and EngineProtocol.
func (c *Client) Order(ctx context.Context, address string, order engineapi.Order) (engineapi.OrderState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return engineapi.OrderState{}, fault.Wrap(fault.Internal, domain, "encode order", err)
	}
	return c.callOrders(ctx, address, fasthttp.MethodPost, body)
}

func (c *Client) callOrders(ctx context.Context, address, method string, body []byte) (engineapi.OrderState, error) {
	var state engineapi.OrderState
	deadline := time.Now().Add(requestTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + ordersPath)
	request.SetBody(body)
	request.SetConnectionClose()
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return state, fault.Wrap(fault.EngineUnreachable, domain, "orders of "+address, err)
	}
	if response.StatusCode() == fasthttp.StatusConflict {
		return state, fault.New(fault.FencingRejected, "engine "+address+" has accepted an order with a higher fencing token")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return state, fault.New(fault.EngineProtocol, "engine "+address+" responded to an order with an unexpected status")
	}
	if err := json.Unmarshal(response.Body(), &state); err != nil {
		return state, fault.Wrap(fault.EngineProtocol, domain, "decode order state", err)
	}
	return state, nil
}
