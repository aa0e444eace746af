package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exchangeUpload sends an upload to a server that answers at once without a length and then ends its connection with
// end. It returns the body of the answer, the error of reading it, and how long that took.
func exchangeUpload(t *testing.T, end func(server *net.TCPConn)) (body []byte, took time.Duration, err error) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := NewPool().Open(context.Background(), "server", listener.Addr().String(), time.Second, false)
	is.NoErr(err)
	t.Cleanup(conn.Close)
	server, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	_, err = conn.Send([]byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, 64<<20))
	is.NoErr(err)
	_, err = server.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		end(server.(*net.TCPConn))
	}()
	response, err := conn.ReadHead("POST")
	is.NoErr(err)
	begin := time.Now()
	body, err = conn.Body(response).ReadAll(1 << 20)
	took = time.Since(begin)
	conn.Close()
	<-ended
	return body, took, err
}

// Guards against an answer that counts as whole although its server has reset the connection.
func TestAnswerThatEndsWithAResetConnectionIsIncomplete(t *testing.T) {
	for name, end := range map[string]func(server *net.TCPConn){
		"reset": func(server *net.TCPConn) { _, _ = server.SetLinger(0), server.Close() },
		"reset after a pause": func(server *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_, _ = server.SetLinger(0), server.Close()
		},
		"closed with an unread upload": func(server *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = server.Close() },
		"closed for writing, then reset": func(server *net.TCPConn) {
			_ = server.CloseWrite()
			time.Sleep(60 * time.Millisecond)
			_, _ = server.SetLinger(0), server.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				_, _, err := exchangeUpload(t, end)
				is.True(err != nil)
			}
		})
	}
}

// Guards against an answer that is withheld because its server reads the upload late, or never.
func TestAnswerThatEndsWithItsConnectionInOrderIsComplete(t *testing.T) {
	for name, end := range map[string]func(server *net.TCPConn){
		"the upload is read": func(server *net.TCPConn) { _ = server.CloseWrite(); _, _ = io.Copy(io.Discard, server) },
		"the upload stays":   func(server *net.TCPConn) { _ = server.CloseWrite(); time.Sleep(2 * settleTime) },
		"the upload is read on": func(server *net.TCPConn) {
			_ = server.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, server)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, took, err := exchangeUpload(t, end)
			is.NoErr(err)
			is.Equal(string(body), "part")
			t.Logf("complete after %s", took)
			is.True(took < settleTime+time.Second)
		})
	}
}

// Guards against an error that doesn't show the detector of crashes how the connection ended.
func TestErrorOfWritingTheRequestIsReturned(t *testing.T) {
	is := is.New(t)
	_, _, err := exchangeUpload(t, func(server *net.TCPConn) {
		_ = server.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = server.SetLinger(0), server.Close()
	})
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))
}
