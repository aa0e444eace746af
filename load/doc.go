// Package load sends a bounded load of generations to entry instances and
// measures what callers see.
package load
