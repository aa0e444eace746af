// Package pace estimates from the past generations of a service the minimum time
// that the rest of an answer takes, to tell whether it fits its caller's deadline.
//
// It is needed in the minute after many instances failed: callers detect a silent
// connection late, resume their answers, and some have less remaining time than
// the rest takes. Repeated prefills for these would delay the callers that can be
// served in time, and produce no answer. An instance that was just started, or one of hundreds,
// sees few generations itself, so instances exchange their estimates. The package itself
// rejects nothing.
package pace
