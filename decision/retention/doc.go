// Package retention stores the tokens of recently interrupted answers in bounded
// memory, so that a caller that reconnects to the same instance needs no replay.
// The least recently used answer is evicted first.
package retention
