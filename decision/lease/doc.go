// Package lease decides who holds a lease that is kept as one object in the
// platform's object API.
//
// The package is deterministic: Machine.Step takes the local monotonic time and
// one input and returns the calls to make. It never calls anything itself. The
// caller makes each call and feeds its answer back as an input; at most one
// call is outstanding.
//
// Two facts keep two holders apart. A holder's validity counts from the moment
// it sent the renewal, which is before the platform took it. Another candidate
// waits for the whole duration plus the clock bound from the moment it first
// saw that version, which is after the platform took it. The conditional update
// lets only one candidate take over.
//
// The fencing number of a holder is the platform's version of the object. It
// grows with each renewal and with each new holder.
package lease
