// Package generation implements serving.Generator: it runs generations. One
// goroutine per generation passes inputs to a machine (decision/generation) and
// executes its outputs; each attempt at an engine has its own goroutine that
// reads the stream. When a keyed caller disconnects, the engine stream is kept
// for a grace period without any goroutine.
package generation
