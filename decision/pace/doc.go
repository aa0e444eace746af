// Package pace learns how fast the generations of a service run, to tell whether
// one can end in the time that its caller has left.
//
// It answers the minute after many instances were lost: callers notice a silent
// connection late, come again for the rest of their answers, and some have less
// time left than the rest takes. Reading their prompts again would hold up those
// that can be in time, and earn nobody an answer.
package pace
