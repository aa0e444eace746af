// Package inflight keeps track of the generations and calls that an instance
// runs, for its dump and its metrics. It wraps the serving path from outside:
// callers of the wrapped parts notice nothing.
package inflight
