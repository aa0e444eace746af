// Package breaker decides whether an attempt may be sent to a backend server.
//
// A Breaker is closed while the server answers. Consecutive failures open it.
// After a jittered wait that doubles with each reopening it becomes half-open
// and allows one probe at a time. A probe that succeeds, or that runs for
// Config.ProbeSuccessAfter without a failure, closes it again. The package sends
// nothing and is deterministic: the caller reports attempts and outcomes, and
// passes in the time and the random source of the jitter.
package breaker
