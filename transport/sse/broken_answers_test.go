package sse_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// post sends a request to a server that answers with a function and returns the exchange.
func post(t *testing.T, answer func(*brokenanswer.Call)) (*sse.Exchange, error) {
	t.Helper()
	server, err := brokenanswer.NewServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + server.Address() + "/")
	request.SetBodyString("body")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	exchange, _, err := sse.Post(ctx, &net.Dialer{}, server.Address(), request)
	if err == nil {
		t.Cleanup(exchange.Close)
	}
	return exchange, err
}

// Guards against a broken answer of an engine, a service or an instance that passes for a whole one.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, answer := range brokenanswer.All("", "data: x\n\n", false) {
		t.Run("body/"+name, func(t *testing.T) {
			t.Parallel()
			exchange, err := post(t, answer)
			if err == nil {
				_, err = exchange.Body()
			}
			is.New(t).True(err != nil)
		})
		t.Run("events/"+name, func(t *testing.T) {
			t.Parallel()
			exchange, err := post(t, answer)
			if err != nil {
				return
			}
			for err == nil {
				_, err = exchange.Next()
			}
			is.New(t).True(!errors.Is(err, io.EOF)) // which is the end of a whole answer
		})
	}
}
