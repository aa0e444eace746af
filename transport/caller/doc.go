// Package caller serves callers over HTTP.
//
//	POST /v1/completions                     one generation, streamed as server-sent events
//	POST /v1/services/{service}/{operation}  one call to a plain service
//
// A streamed answer ends with an event that has the token count and hash and
// then [DONE]; a stream without it is incomplete. Each event's id is the
// cursor with which any instance continues the answer (Last-Event-ID).
package caller
