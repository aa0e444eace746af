package rendezvous

import "github.com/cespare/xxhash/v2"

// goldenRatio64 is the integer part of 2^64 divided by the golden ratio. It is odd, and
// multiplication by it mixes the bits of two hashes.
const goldenRatio64 = 0x9e3779b97f4a7c15

// Digest is the hash of a key or a name. A weight is computed from two digests without
// reading the strings again, so that a long key is hashed only once for many names.
type Digest uint64

// DigestOf returns the digest of a key or name. Weights of digests differ from those that the
// function Weight returns.
func DigestOf(key string) Digest { return Digest(xxhash.Sum64String(key)) }

// Weight returns the weight of the name with the given digest for the key d.
func (d Digest) Weight(name Digest) uint64 {
	mixed := (uint64(d) ^ uint64(name)) * goldenRatio64
	mixed ^= mixed >> 32
	mixed *= goldenRatio64
	return mixed ^ mixed>>29
}
