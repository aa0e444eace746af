// Package survival loses engines, the holder of the orders lease, entry
// instances, a whole data centre and the platform, one after the other, while
// generations and non-idempotent calls arrive, and checks every answer. It runs
// over real sockets on loopback.
package survival
