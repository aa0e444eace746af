package streamversion

import "github.com/cespare/xxhash/v2"

// Key identifies a stream by the client attempt that brought its first event.
type Key uint64

// KeyOf returns the key of the client attempt with an id.
func KeyOf(attempt string) Key { return Key(xxhash.Sum64String(attempt)) }

// Origin is the service that began a stream, and the software version of its server.
type Origin struct {
	Service string
	Version string
}

// Record states where a stream began.
type Record struct {
	Key Key
	Origin
}
