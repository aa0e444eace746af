// Package budget decides whether a call to the platform may go out now: one
// gate per process bounds the rate of reads and writes and the calls under way,
// pauses when the platform says that its rate is reached, and stops calling
// for a while when calls keep failing (circuit breaker).
//
// The gate has no clock and starts no timer: it is told the time and answers
// with the wait that the caller has to make.
package budget
