package caller

import (
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// correctExecution replaces not-run in the refusal of a request whose earlier submissions were
// not read: not-run is a promise about all submissions of a key, which can't be given here.
func correctExecution(ctx *fasthttp.RequestCtx, err error) error {
	failure := fault.From(err)
	if failure.Execution != fault.ExecutionNotRun {
		return failure
	}
	return failure.WithExecution(executionBeforeKeyLookup(ctx))
}

// executionBeforeKeyLookup returns the execution of a request that is refused before its key or
// cursor is looked up. With a key or a cursor, earlier submissions may have run.
func executionBeforeKeyLookup(ctx *fasthttp.RequestCtx) fault.Execution {
	header := &ctx.Request.Header
	if len(header.Peek(IdempotencyKeyHeader)) > 0 || len(header.Peek(LastEventIDHeader)) > 0 {
		return fault.ExecutionRefusedHere
	}
	return fault.ExecutionNotRun
}
