// Package survival injects failures of engines, the holder of an orders lease, a whole data
// centre with its entry instances, and the platform, one after the other, while generations and
// non-idempotent calls arrive, and checks every answer. It runs over real sockets on loopback.
package survival
