// Package load sends a bounded load of generations and calls to entry instances
// on loopback addresses and measures what callers see.
package load
