// Package overhead measures over real sockets what an entry instance adds to
// a stream of tokens, against the same engine asked directly in the same run.
//
// Engine, entry instance and callers share one process. The engine's tokens
// say when they were sent, so that a caller knows the delay of each. The two
// paths take turns, so that other work on the machine meets both alike.
package overhead
