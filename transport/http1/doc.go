// Package http1 parses HTTP/1.1 messages strictly, for a forwarder that must find
// the same end of a message as the client before it and the server behind it.
//
// It reads heads and bodies from a connection. It writes no messages, except that StrictConn hands
// well-formed answers to an HTTP client library. Lines end with CR LF. A message has at most one
// framing: a length or the chunked coding. Any other declaration of its length is an error, after
// which the connection must not be used.
package http1
