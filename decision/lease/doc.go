// Package lease decides who holds a lease that is kept as one object in the
// platform's object API.
//
// The package is deterministic: Machine.Step takes the local monotonic time and
// one input and returns the calls to make. It makes no calls itself. The caller
// makes each call and passes its answer back as an input; at most one call is in
// flight.
//
// At most one candidate is a valid holder, for two reasons. A holder's validity
// counts from the time when it sent the renewal, which is before the platform
// applied it. Another candidate waits for the whole duration plus the clock bound
// from the time when it first read that version, which is after the platform
// applied it. The conditional update lets only one candidate take over.
//
// The fencing token of a holder is the platform's version of the object. It
// grows with each renewal and with each new holder.
package lease
