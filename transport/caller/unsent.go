package caller

import (
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// unsent types the refusal of a request whose earlier submissions were not
// read: not-run is a promise about the key, which this instance cannot give.
func unsent(ctx *fasthttp.RequestCtx, err error) error {
	failure := fault.From(err)
	if failure.Execution != fault.ExecutionNotRun {
		return failure
	}
	return failure.WithExecution(unsentExecution(ctx))
}

// unsentExecution is the execution of a request that is refused before its key
// or cursor was looked up: earlier submissions may have run.
func unsentExecution(ctx *fasthttp.RequestCtx) fault.Execution {
	header := &ctx.Request.Header
	if len(header.Peek(IdempotencyKeyHeader)) > 0 || len(header.Peek(LastEventIDHeader)) > 0 {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}
