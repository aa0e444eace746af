// Package caller is the HTTP server for callers.
//
//	POST /v1/completions                     one generation, streamed as server-sent events
//	POST /v1/services/{service}/{operation}  one call to a plain service
//
// It authenticates and validates each request, passes it to the parts that serve it, and writes
// their answer or a JSON error. It neither chooses backend servers nor runs generations.
//
// A streamed answer ends with an event that has the token count and hash, followed by [DONE]; a
// stream without them is incomplete. The id of each token event is a cursor: sent as
// Last-Event-ID, it lets any instance continue the answer at that position.
package caller
