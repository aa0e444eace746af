// Package http1 reads HTTP/1.1 messages strictly, for a forwarder that must
// never disagree with its neighbours about where a message ends.
//
// Lines end with CR LF. A message has at most one framing: a length or the
// chunked coding. Whatever else a message says about its length is an error,
// after which its connection can't be used.
package http1
