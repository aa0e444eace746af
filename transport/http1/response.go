package http1

import (
	"strconv"
	"strings"
	"time"
)

// Response is the head of a response.
type Response struct {
	Status  int
	Reason  string
	Fields  Fields
	Framing Framing
}

// statusSwitchingProtocols announces that what follows is another protocol.
const statusSwitchingProtocols = 101

// ParseResponse parses the head of the response to a request with the given
// method that asks for no other protocol. Errors are *ProtocolError.
func ParseResponse(head, method string) (*Response, error) {
	line, rest, found := strings.Cut(head, "\r\n")
	if !found || !strings.HasPrefix(line, "HTTP/1.1 ") || len(line) < len("HTTP/1.1 200") {
		return nil, malformed("status line", "not an HTTP/1.1 response")
	}
	code, reason := line[9:12], strings.TrimPrefix(line[12:], " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 599 || (len(line) > 12 && line[12] != ' ') {
		return nil, malformed("status line", "no valid status")
	}
	if status == statusSwitchingProtocols {
		return nil, malformed("status line", "switches the protocol without a request to do so")
	}
	if !isFieldValue(reason) {
		return nil, malformed("status line", "a control character in its reason")
	}
	fields, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: status, Reason: reason, Fields: fields}
	framing, declared, err := declaredFraming(fields)
	switch {
	case err != nil:
		return nil, err
	case method == "HEAD" || status < 200 || status == 204 || status == 304:
	case declared:
		response.Framing = framing
	default:
		response.Framing = Framing{Kind: FramingClose}
	}
	return response, nil
}

// IdleTimeout returns how long the server keeps the connection open after this
// response: zero if the server closes it at once, unknown if it does not say.
func (r *Response) IdleTimeout(unknown time.Duration) time.Duration {
	if r.Framing.Kind == FramingClose || r.Fields.HasToken("Connection", "close") {
		return 0
	}
	for part := range strings.SplitSeq(r.Fields.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return unknown
}
