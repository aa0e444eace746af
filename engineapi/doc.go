// Package engineapi defines the protocol between entry instances and model
// engines: the usual completions protocol with documented fields for resume,
// prefix, seed, priority and cancel.
//
//	POST /v1/completions             CompletionRequest -> server-sent Chunk events, then [DONE]
//	POST /v1/streams/{id}/cancel     ends a stream; 404 when it is unknown;
//	                                 with ?idle=true 409 when it is being read
//	GET  /v1/load                    LoadReport
//	POST /v1/orders                  Order -> OrderResult
//	GET  /v1/orders                  OrderState
//
// One event carries exactly one token. Every answer of an engine echoes the
// request's NonceHeader.
package engineapi
