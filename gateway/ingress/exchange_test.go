package ingress

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Guards against a request that is rejected because the answered one before it still counts as using memory.
func TestBodyMemoryIsFreeWhenTheClientHasItsAnswer(t *testing.T) {
	is := is.New(t)
	for _, answer := range []func(*Exchange) error{
		func(x *Exchange) error { return x.Answer([]byte("HTTP/1.1 200 OK\r\n"), nil) },
		func(x *Exchange) error { return x.End() },
	} {
		client, server := net.Pipe()
		released := false
		x := &Exchange{conn: &clientConn{conn: server}, closing: true, releaseBody: func() { released = true }}
		x.Head = testHead(t)
		done := make(chan error)
		go func() { done <- answer(x) }()
		_, err := client.Read(make([]byte, 1))
		is.NoErr(err)
		is.True(released)
		is.NoErr(client.Close())
		<-done
	}
}

func testHead(t *testing.T) *http1.Request {
	t.Helper()
	head, err := http1.ParseRequest("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	return head
}
