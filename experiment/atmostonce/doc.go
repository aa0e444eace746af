// Package atmostonce drives the decision packages of calls in virtual time
// through fault schedules and load, with an oracle that knows only what the
// callers and the backend servers could see.
//
// The same schedules serve the experiment at-most-once, whose choices come
// from a seed, and the property tests, whose choices come from rapid.
package atmostonce
