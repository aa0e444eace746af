// Package suspicion computes the silence timeout after which a stream counts as
// stalled.
//
// The silence timeout of a stream that produces tokens follows its own token
// intervals: it is the mean interval plus a number of mean deviations, at least
// twice the mean interval, between a minimum and a maximum. Until the first token
// of a stream the prefill timeout applies, which grows with the text that the
// engine has to process, so that a long prefill doesn't count as a failure. The
// caller of the package keeps the time and detects the stall.
package suspicion
