package sse_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
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

// Guards against the beginning of a body over the size limit that passes for the whole one.
func TestBodyOverTheLimitIsAnError(t *testing.T) {
	for name, fields := range map[string]string{"length": "Content-Length: 16777217\r\n\r\n", "end of the connection": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			exchange, err := post(t, func(c *brokenanswer.Call) {
				c.Write("HTTP/1.1 200 OK\r\n" + fields + strings.Repeat("x", 16<<20+1))
				c.Close()
			})
			if err == nil {
				_, err = exchange.Body()
			}
			is.True(err != nil)
		})
	}
	is := is.New(t)
	exchange, err := post(t, func(c *brokenanswer.Call) { c.Succeed("", strings.Repeat("x", 16<<20)) })
	is.NoErr(err)
	body, err := exchange.Body()
	is.NoErr(err)
	is.Equal(len(body), 16<<20)
}
