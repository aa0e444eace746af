package engine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
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
		if order.Fencing < e.orders.Fencing {
			return e.orders, false
		}
		e.orders.Fencing = order.Fencing
	}
	switch order.Kind {
	case engineapi.OrderLoad:
		e.orders.Model, e.orders.Version = order.Model, order.Version
	case engineapi.OrderUnload:
		e.orders.Model, e.orders.Version = "", ""
	case engineapi.OrderRole:
		e.orders.Role = order.Role
	}
	return e.orders, true
}
