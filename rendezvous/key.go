package rendezvous

import "github.com/cespare/xxhash/v2"

// golden is the odd constant that spreads the key's bits over the seed.
const golden = 0x9e3779b97f4a7c15

// Digest is the hash of a key or a name. Weights of digests are cheap, so that
// a long key is read only once for many names.
type Digest uint64

// Key returns the digest of a key or name. Weights of digests differ from those
// of the function Weight.
func DigestOf(key string) Digest { return Digest(xxhash.Sum64String(key)) }

// Weight returns the weight of a name, given the name's digest.
func (d Digest) Weight(name Digest) uint64 {
	mixed := (uint64(d) ^ uint64(name)) * golden
	mixed ^= mixed >> 32
	mixed *= golden
	return mixed ^ mixed>>29
}
