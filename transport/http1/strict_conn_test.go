package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answeringConn is a stub of a connection whose peer sends one text for each request. Its other methods must not be called.
type answeringConn struct {
	net.Conn
	answers []string
	unread  string
}

func (c *answeringConn) Write(data []byte) (int, error) {
	c.unread += c.answers[0]
	c.answers = c.answers[1:]
	return len(data), nil
}

func (c *answeringConn) Read(buffer []byte) (int, error) {
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(buffer, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// exchange sends a request over a strict connection and returns what is read as the answer.
func exchange(conn *StrictConn, reader *Reader) (*Response, string, error) {
	if _, err := conn.Write([]byte("request")); err != nil {
		return nil, "", err
	}
	head, err := reader.Head(maxStrictHeadBytes)
	if err != nil {
		return nil, "", err
	}
	response, err := ParseResponse(head, "GET")
	if err != nil {
		return nil, "", err
	}
	body, err := reader.Body(response.Framing).ReadAll(1 << 20)
	return response, string(body), err
}

func TestStrictConnPassesOnWellFormedAnswers(t *testing.T) {
	long := strings.Repeat("long body ", 20_000)
	for _, test := range []struct {
		name, text string
		status     int
		body       string
		close      bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody", 200, "body", false},
		{"no body", "HTTP/1.1 409 Conflict\r\nX-A: b\r\nContent-Length: 0\r\n\r\n", 409, "", false},
		{"status without a body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", 204, "", false},
		{"chunks", "HTTP/1.1 200 OK\r\nX-A: b\r\ntransfer-encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-C: d\r\n\r\n", 200, "body", false},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: c\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody", 200, "body", false},
		{"long", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 200000\r\n\r\n" + long, 200, long, false},
		{"end of the connection", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody", 200, "body", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			requests := 3
			if test.close {
				requests = 1
			}
			conn := NewStrictConn(&answeringConn{answers: []string{test.text, test.text, test.text}})
			reader := NewReader(conn)
			for range requests {
				response, body, err := exchange(conn, reader)
				is.NoErr(err)
				is.Equal(response.Status, test.status)
				is.Equal(response.Fields.Get("X-A"), "b")
				is.Equal(body, test.body)
				is.Equal(response.IdleTimeout(time.Second) == 0, test.close)
			}
		})
	}
}

// Guards against bytes of nobody that are taken for the answer to the next request.
func TestStrictConnIsOverAfterExtraBytes(t *testing.T) {
	is := is.New(t)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	conn := NewStrictConn(&answeringConn{answers: []string{answer + answer, answer}})
	reader := NewReader(conn)
	_, body, err := exchange(conn, reader)
	is.NoErr(err)
	is.Equal(body, "body")
	_, _, err = exchange(conn, reader)
	is.True(errors.Is(err, errExtraBytes))
}

// Guards against endless reading of interim answers.
func TestStrictConnBoundsInterimAnswers(t *testing.T) {
	is := is.New(t)
	conn := NewStrictConn(&answeringConn{answers: []string{strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)}})
	_, _, err := exchange(conn, NewReader(conn))
	is.True(errors.Is(err, errInterimAnswers))
}
