// Package engine is the HTTP client for model engines: it opens, reads and cancels streams and
// sends orders. It does not retry. Each stream has its own TCP connection, so that closing the
// connection affects no other stream and no stream starts on an idle pooled connection.
package engine
