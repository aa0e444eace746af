// Package overflow implements serving.Overflow: it sends a request that this
// instance has no room for to entry instances of other data centres over their
// callers' interface, and counts the bytes that come from other regions.
package overflow
