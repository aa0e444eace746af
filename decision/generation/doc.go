// Package generation decides how one answer is produced and resumed.
//
// A Machine is the state of one generation at one entry instance. The caller
// of the package passes it inputs (the start, routes, events of engine streams
// and of the caller's connection, ticks) with the time since an epoch of its
// choice, and executes the outputs of each step in order. The machine has no
// sockets, goroutines, clock or global random source: equal inputs give equal
// outputs.
//
// The contract with the caller of the package:
//
//   - Step is called by one goroutine at a time; its times never decrease.
//   - A Tick must be passed at the time that Wake returns.
//   - Each RequestRoute is answered by RouteChosen or RouteFailed with its number.
//     A chosen route for which no OpenAttempt follows in the same step is
//     returned unused.
//   - After CloseAttempt the input of that attempt may still arrive; it is
//     dropped and counted.
//   - Finish, Fail and Release are terminal: no output follows them.
//
// The ways to resume an interrupted answer are tried cheapest first: reattach
// to the same engine stream; continue at another engine with the delivered
// tokens as the prefix; without the delivered text, produce the answer again
// under the same seed and continue only if the hash at the delivered offset is
// equal. The latency objective runs the first two in parallel; the first to
// produce a token is used and the other is cancelled. The cost objective runs
// them one after another.
//
// A reattached stream starts at an anchor a few tokens before the delivered
// offset and must reach the delivered hash. A stream that sends other tokens or
// wrong offsets is closed, and none of its tokens are delivered. An answer is
// complete only when an engine ends it with the same token count and hash.
package generation
