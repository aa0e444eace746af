// Package rollinghash computes a running hash over the tokens of an answer. Two answers
// with the same hash at the same offset are treated as equal up to there.
package rollinghash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash over a prefix of an answer. The zero value is the hash of
// the empty prefix.
type Hash uint64

// Extend returns the hash of the prefix followed by one more token.
func (h Hash) Extend(token string) Hash {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(h))
	hasher := xxhash.New()
	_, _ = hasher.Write(buffer[:])
	_, _ = hasher.WriteString(token)
	return Hash(hasher.Sum64())
}

// Of returns the hash of a sequence of tokens that starts at the beginning of an answer.
func Of(tokens []string) Hash {
	var hash Hash
	for _, token := range tokens {
		hash = hash.Extend(token)
	}
	return hash
}
