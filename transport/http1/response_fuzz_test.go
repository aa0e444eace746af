package http1

import (
	"bytes"
	"testing"
)

// FuzzResponse checks that no answer of a server makes the reader panic, and that one that breaks off is no complete one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n",
	} {
		f.Add([]byte(seed), "GET")
		f.Add([]byte(seed), "HEAD")
	}
	f.Fuzz(func(t *testing.T, data []byte, method string) {
		body, framing, complete := readResponse(data, method)
		if !complete || framing.Kind == FramingNone || len(body) == 0 || len(data) == 0 {
			return
		}
		if framing.Kind == FramingLength && int64(len(body)) != framing.Length {
			t.Fatalf("%d bytes of %d", len(body), framing.Length)
		}
	})
}

// readResponse reads one answer.
func readResponse(data []byte, method string) (body []byte, framing Framing, complete bool) {
	reader := NewReader(bytes.NewReader(data))
	head, err := reader.Head(1 << 10)
	if err != nil {
		return nil, Framing{}, false
	}
	response, err := ParseResponse(head, method)
	if err != nil {
		return nil, Framing{}, false
	}
	body, err = reader.Body(response.Framing).ReadAll(1 << 10)
	return body, response.Framing, err == nil
}
