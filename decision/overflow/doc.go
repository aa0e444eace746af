// Package overflow chooses the entry instance of another data centre that
// takes a request for which this instance has no room.
//
// Instances of the own region come first, then the others, in random order
// within each; those whose data centre no rule allows, and those that refused
// not long ago, are left out. A request makes one hop: it carries its hop
// count, and an instance hands over only requests that have made none. The
// package is deterministic: time and the random source are given.
package overflow
