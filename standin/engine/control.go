package engine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Control is the body of POST /control. A paused or dead engine does not
// answer it.
type Control struct {
	// Action is "kill", "silence", "break" or "faults".
	Action string `json:"action"`
	Faults Faults `json:"faults,omitzero"`
}

func (e *Engine) handleControl(ctx *fasthttp.RequestCtx) {
	var control Control
	if err := json.Unmarshal(ctx.PostBody(), &control); err != nil {
		ctx.Error(`{"error":"malformed body"}`, fasthttp.StatusBadRequest)
		return
	}
	switch control.Action {
	case "kill":
		go e.Kill()
	case "silence":
		e.SilenceConnections()
	case "break":
		go e.CloseConnections()
	case "faults":
		e.SetFaults(control.Faults)
	default:
		ctx.Error(`{"error":"unknown action"}`, fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, struct{}{})
}
