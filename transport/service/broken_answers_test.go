package service_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// Guards against a broken answer of a service that is recorded and forwarded as the answer of its operation.
func TestBrokenAnswersOfServicesAreNoResults(t *testing.T) {
	for name := range brokenanswer.All("", "body", false) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := brokenanswer.NewServer(func(c *brokenanswer.Call) {
				fields := engineapi.NonceHeader + ": " + c.Head.Fields.Get(engineapi.NonceHeader) + "\r\n"
				brokenanswer.All(fields, "body", false)[name](c)
			})
			is.NoErr(err)
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, sent, err := service.NewClient().Call(ctx, server.Address(), service.Request{Operation: "o", Body: []byte("body")}, func() {})
			is.True(fault.HasCode(err, fault.CallFailed))
			is.True(sent) // it may have run
			is.NoErr(ctx.Err())
		})
	}
}
