package http1

import "strings"

// Request is the head of a request.
type Request struct {
	Method string
	// Target is the path with its query, as it was received.
	Target  string
	Fields  Fields
	Framing Framing
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// KeepAlive reports whether the client allows the connection to stay open after the response.
func (r *Request) KeepAlive() bool { return !r.Fields.HasToken("Connection", "close") }

// ParseRequest parses the head of a request, which ends with an empty line.
// Errors are *ProtocolError.
func ParseRequest(head string) (*Request, error) {
	line, rest, found := strings.Cut(head, "\r\n")
	if !found {
		return nil, malformed("request line", "no end")
	}
	method, afterMethod, found := strings.Cut(line, " ")
	if !found || !isToken(method) {
		return nil, malformed("method", "not a token")
	}
	target, version, found := strings.Cut(afterMethod, " ")
	if !found || !isTarget(target) {
		return nil, malformed("target", "not a path")
	}
	if version != "HTTP/1.1" {
		if strings.HasPrefix(version, "HTTP/") {
			return nil, &ProtocolError{Status: statusVersionMismatch, Field: "version", Reason: "only HTTP/1.1 is supported"}
		}
		return nil, malformed("version", "not an HTTP version")
	}
	fields, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	if fields.Count("Host") != 1 {
		return nil, malformed("Host", "must occur exactly once")
	}
	framing, _, err := declaredFraming(fields)
	if err != nil {
		return nil, err
	}
	return &Request{Method: method, Target: target, Fields: fields, Framing: framing}, nil
}

// isTarget reports whether a target is a path of visible ASCII characters without a fragment.
func isTarget(target string) bool {
	if target == "" || target[0] != '/' {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f || target[i] == '#' {
			return false
		}
	}
	return true
}
