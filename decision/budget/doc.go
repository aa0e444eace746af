// Package budget decides whether a call to the platform may go out now: one
// gate per process bounds the rate of reads and writes and the calls in flight,
// pauses when the platform rejects a call by its rate limit, and opens a circuit
// breaker when consecutive calls fail.
//
// The gate reads no clock, starts no timer and makes no call: it takes the
// current time and returns the time that the caller has to wait.
package budget
