package forward

import (
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// Protocol reads and writes the messages of clients and backend servers.
type Protocol interface {
	// ParseRequest reads a request's head. Errors are *http1.ProtocolError.
	ParseRequest(head *http1.Request) (message.Request, error)
	// AppendRequest appends the head of a request to a backend server.
	AppendRequest(dst []byte, head *http1.Request, bodyBytes int, dispatch message.Dispatch) []byte
	// ParseAnswer reads the head of a backend server's answer.
	ParseAnswer(head *http1.Response) message.Answer
	// AppendAnswer appends the head of a backend server's answer as the client
	// gets it, without the framing and the empty line.
	AppendAnswer(dst []byte, head *http1.Response) []byte
	// AppendIdentity appends the header field with the id of the request.
	AppendIdentity(dst []byte, id string) []byte
	// AppendRelay appends the head of a request that is handed to a peer.
	AppendRelay(dst []byte, head *http1.Request, bodyBytes int, relay message.Relay) []byte
	// ParseRelay reads what a peer states about a request that it hands over. Errors are *http1.ProtocolError.
	ParseRelay(head *http1.Request) (message.Relay, error)
	// AppendRelayAnswer appends to the head of an answer what this instance states about it to a peer.
	AppendRelayAnswer(dst []byte, answer message.RelayAnswer) []byte
	// ParseRelayAnswer reads what a peer states about its answer.
	ParseRelayAnswer(head *http1.Response) message.RelayAnswer
	// LoadRequest returns a request for the load report of a backend server.
	LoadRequest(address string) []byte
	// IdentityRequest returns a request for the id of the server at an address.
	IdentityRequest(address, healthPath string) []byte
	// CacheReportRequest returns a request for what a model engine keeps in its KV cache.
	CacheReportRequest(address string) []byte
	// ParseCacheReport reads the body of a model engine's answer to CacheReportRequest.
	ParseCacheReport(body []byte) (message.CacheReport, error)
	// ParseReport reads the body of a model engine's answer to LoadRequest.
	ParseReport(body []byte) (message.Report, error)
}
