package sse

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Sizes in bytes of the read buffers, and the largest response body.
const (
	readBufferBytes = 16 << 10
	maxBodyBytes    = 16 << 20
)

// Exchange is one request with its response. Only one goroutine may read from
// it; Close may be called from any.
type Exchange struct {
	conn             net.Conn
	response         *fasthttp.Response
	body             *bufio.Reader
	stopCancellation func() bool
	id               []byte
	name             []byte
	data             []byte
}

// Post opens a connection to the address, sends the request and waits for the
// response header. Cancelling the context closes the connection at any time,
// also while the response is read. sent is false if no byte can have reached
// the server. Errors are those of the connection and of parsing the response.
func Post(ctx context.Context, dialer *net.Dialer, address string, request *fasthttp.Request) (exchange *Exchange, sent bool, err error) {
	return PostNotify(ctx, dialer, address, request, func() {})
}

// PostNotify is Post that calls onConnect when the server has accepted the connection, before
// the request is sent.
func PostNotify(ctx context.Context, dialer *net.Dialer, address string, request *fasthttp.Request, onConnect func()) (exchange *Exchange, sent bool, err error) {
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	conn := http1.NewStrictConn(opened)
	onConnect()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	exchange, err = send(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, true, err
	}
	exchange.stopCancellation = stop
	return exchange, true, nil
}

func send(conn net.Conn, request *fasthttp.Request) (*Exchange, error) {
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	response := &fasthttp.Response{StreamBody: true}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	if err := response.ReadLimitBody(reader, maxBodyBytes); err != nil {
		return nil, err
	}
	return &Exchange{conn: conn, response: response, body: bufio.NewReaderSize(bodyReader(response), readBufferBytes)}, nil
}

// bodyReader returns the body of a response, which has no stream if it is empty.
func bodyReader(response *fasthttp.Response) io.Reader {
	if stream := response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(response.Body())
}

// Status returns the HTTP status of the response.
func (e *Exchange) Status() int { return e.response.StatusCode() }

// Header returns a header field of the response, "" if it is absent.
func (e *Exchange) Header(name string) string {
	return string(e.response.Header.Peek(name))
}

// Read reads the bytes of the response body as they arrive. It must not be used
// together with Next.
func (e *Exchange) Read(buffer []byte) (int, error) { return e.body.Read(buffer) }

// errBodyTooLong means that a response body is over maxBodyBytes.
var errBodyTooLong = fault.New(fault.MessageMalformed, "the response body is over "+strconv.Itoa(maxBodyBytes)+" bytes")

// Body reads the rest of the response body. It returns an error for one over maxBodyBytes.
func (e *Exchange) Body() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e.body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		return nil, errBodyTooLong
	}
	return body, err
}

// Next returns the next event. It returns io.EOF when the response ends, a network error when
// the connection fails, and bufio.ErrBufferFull for a line over readBufferBytes.
func (e *Exchange) Next() (Event, error) {
	e.id, e.name, e.data = e.id[:0], e.name[:0], e.data[:0]
	comment := false
	for {
		line, err := e.body.ReadSlice('\n')
		if err != nil {
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && (comment || len(e.data) > 0 || len(e.name) > 0):
			return Event{ID: e.id, Name: e.name, Data: e.data, Comment: comment && len(e.data) == 0}, nil
		case len(line) > 0 && line[0] == ':':
			comment = true
		default:
			e.addField(line)
		}
	}
}

// addField adds one "name: value" line to the current event.
func (e *Exchange) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "event":
		e.name = append(e.name[:0], value...)
	case "data":
		e.data = append(e.data, value...)
	}
}

// Close closes the connection.
func (e *Exchange) Close() {
	e.stopCancellation()
	_ = e.conn.Close()
}
