// Package generation decides how one answer is produced and repaired.
//
// A Machine is the state of one generation at one entry instance. The caller
// of the package feeds it inputs (the start, routes, what engine streams send,
// the caller's connection, ticks) with the time since an epoch of its choice,
// and carries out the outputs of each step in their order. The machine has no
// sockets, goroutines, clock or global random source: equal inputs give equal
// outputs.
//
// The contract with the caller of the package:
//
//   - Step is called by one goroutine at a time; time never goes back.
//   - A Tick is due at Wake.
//   - Each AskRoute is answered by RouteChosen or RouteFailed with its number.
//     A chosen route for which no OpenAttempt follows in the same step is
//     given back unused.
//   - After CloseAttempt the input of that attempt may still arrive; it is
//     dropped and counted.
//   - Finish, Fail and Release are last: nothing follows them.
//
// The order of repair is the cheapest first: attach again to the same engine
// stream; continue at another engine with the delivered tokens as its prefix;
// without the delivered text, produce the answer again under the same seed and
// continue only if the hash at the delivered offset is the same. The latency
// objective runs the first two side by side; the first to produce a token wins
// and the other is cancelled. The cost objective runs them one after another.
//
// A stream that is read again starts at an anchor a few tokens before the
// delivered offset and must arrive at the delivered hash. A stream that sends
// other tokens or wrong offsets is dropped and never spliced. An answer is
// complete only when an engine ends it with the same token count and hash.
package generation
