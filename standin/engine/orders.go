package engine

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/standin/weightstore"
)

// Times of a load at the weight store.
const (
	weightsRetry   = 20 * time.Millisecond
	weightsTimeout = 10 * time.Second
)

func (e *Engine) orderState() engineapi.OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order engineapi.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(`{"error":"malformed body"}`, fasthttp.StatusBadRequest)
		return
	}
	state, accepted := e.apply(order)
	if !accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, state)
}

// apply carries out an order; it is refused when its fencing number is old and
// the engine checks it.
func (e *Engine) apply(order engineapi.Order) (engineapi.OrderState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing {
		if order.FencingToken < e.orders.FencingToken {
			return e.orders, false
		}
		e.orders.FencingToken = order.FencingToken
	}
	switch order.Kind {
	case engineapi.OrderLoad:
		e.loadLocked(order.Model, order.Version)
	case engineapi.OrderUnload:
		e.orders.Model, e.orders.Version, e.orders.Loading = "", "", false
	case engineapi.OrderRole:
		e.orders.Role = order.Role
	}
	return e.orders, true
}

// loadLocked starts the load of a model unless the engine has it.
func (e *Engine) loadLocked(model, version string) {
	if e.orders.Model == model && e.orders.Version == version {
		return
	}
	e.orders.Model, e.orders.Version = model, version
	if e.settings.WeightStore == "" || !e.running {
		return
	}
	e.orders.Loading = true
	ctx := e.context
	e.wait.Go(func() { e.fetchWeights(ctx, model, version) })
}

// fetchWeights loads from the weight store until it is let in.
func (e *Engine) fetchWeights(ctx context.Context, model, version string) {
	query := url.Values{"model": {model}, "version": {version}}
	address := e.settings.WeightStore + weightstore.WeightsPath + "?" + query.Encode()
	for ctx.Err() == nil {
		status, _, err := fasthttp.GetTimeout(nil, address, weightsTimeout)
		if err == nil && status == fasthttp.StatusOK {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(weightsRetry):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.Model == model && e.orders.Version == version {
		e.orders.Loading = false
	}
}
