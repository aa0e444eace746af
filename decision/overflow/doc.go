// Package overflow chooses the entry instance of another data centre that
// takes a request for which this instance has no capacity.
//
// A Chooser takes the known peers and returns those to try: peers of the own region
// first, then the others, in random order within each. It leaves out peers in data
// centres that no rule allows and peers that refused a request recently. A request
// carries its hop count, and only requests without a hop are forwarded, so that each
// makes at most one.
//
// A Balance decides for the gateway's requests, one service at a time: it answers for data centres whose own servers
// are too few for a while, or lost. It takes the wait and the capacity that instances state about their data centres, and
// returns the share of the requests that leaves and where each of them goes, the same at all instances of a data centre.
//
// The package sends nothing and is deterministic: time and the random source are given by the caller.
package overflow
