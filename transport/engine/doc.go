// Package engine is the HTTP client for model engines. Each stream has a TCP
// connection of its own, so that closing it breaks nothing else and no stream
// ever rides on an idle pooled connection.
package engine
