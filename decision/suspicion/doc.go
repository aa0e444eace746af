// Package suspicion judges from the gaps between tokens when a silent stream
// should be taken as lost.
//
// A stream that produces tokens is judged by its own cadence: the silence it
// is allowed is the mean gap plus a number of mean deviations, at
// least twice the mean gap, between a floor
// and a ceiling. Before its first token a stream is judged by a prefill budget
// that grows with the text the engine has to process, so that a long prefill
// is not taken as a loss.
package suspicion
