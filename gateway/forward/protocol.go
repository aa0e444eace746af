package forward

import (
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Protocol spells requests and answers as clients and backend servers do.
type Protocol interface {
	// Request reads what a client says. Errors are *http1.ProtocolError.
	ParseRequest(head *http1.Request) (message.Request, error)
	// AppendRequest appends the head of a request to a backend server.
	AppendRequest(dst []byte, head *http1.Request, bodyBytes int, dispatch message.Dispatch) []byte
	// Answer reads what a backend server says about its answer.
	ParseAnswer(head *http1.Response) message.Answer
	// AppendAnswer appends the head of a backend server's answer without
	// framing and empty line.
	AppendAnswer(dst []byte, head *http1.Response) []byte
	// AppendIdentity appends the field that names the request.
	AppendIdentity(dst []byte, id string) []byte
	// LoadRequest returns a request for the load of a backend server.
	LoadRequest(address string) []byte
	// IdentityRequest returns a request for the id of the server at an address.
	IdentityRequest(address, healthPath string) []byte
	// Report reads the answer of a model engine to it.
	ParseReport(body []byte) (message.Report, error)
}
