package generation_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a test leaves goroutines running. The ignored ones belong
// to fasthttp: it starts the first two once for the whole process, and the
// others end by themselves seconds after their server or client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
	)
}
