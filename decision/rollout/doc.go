// Package rollout decides how a service moves to another software version: which share of the requests
// the new version gets, and whether the move is completed or rolled back.
//
// It answers the load of an order that runs for seconds to hours before services with a few to
// thousands of requests a second, over hundreds of instances whose evidence arrives seconds late. It has
// no clock and no I/O: callers pass the time and the counters.
package rollout
