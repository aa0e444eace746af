// Package overflow implements serving.Overflow: it forwards a request that this
// instance has no capacity for to entry instances of other data centres, through
// their public API, and counts the bytes that come from other regions. The order
// of the instances is decided in decision/overflow.
package overflow
