package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Bounds of the length of an answer whose request sets no max_tokens.
const (
	minNaturalTokens = 40
	naturalTokenSpan = 160
)

var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
	"we", "xi", "yo", "zu", "bra", "cle", "dri", "flo", "gru", "sha", "ple", "tri", "spo", "stu", "fra", "gle",
}

// Answer defines the right answer to one request: each token follows from the
// request and all tokens before it.
type Answer struct {
	Model     string
	Version   string
	Prompt    string
	Seed      uint64
	MaxTokens int
	// Salt differs between engines that are not deterministic; zero means
	// deterministic.
	Salt uint64
}

// Length returns the number of tokens of the whole answer.
func (a Answer) Length() int {
	if a.MaxTokens > 0 {
		return a.MaxTokens
	}
	return minNaturalTokens + int(xxhash.Sum64String(a.Prompt)%naturalTokenSpan)
}

// Next returns the token that follows a prefix with the given hash.
func (a Answer) Next(prefix rollinghash.Hash) string {
	return NextToken(a.basis(), prefix)
}

// Tokens returns the whole answer after the given prefix.
func (a Answer) Tokens(prefix []string) []string {
	hash := rollinghash.Of(prefix)
	basis := a.basis()
	var tokens []string
	for offset := len(prefix); offset < a.Length(); offset++ {
		token := NextToken(basis, hash)
		hash = hash.Extend(token)
		tokens = append(tokens, token)
	}
	return tokens
}

// basis is the part of a token's definition that all tokens share.
func (a Answer) basis() uint64 {
	digest := xxhash.New()
	for _, part := range []string{a.Model, a.Version, a.Prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], a.Seed)
	binary.LittleEndian.PutUint64(numbers[8:], a.Salt)
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// Successor returns the token after a prefix for a request's basis.
func NextToken(basis uint64, prefix rollinghash.Hash) string {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], basis)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(prefix))
	sum := xxhash.Sum64(numbers[:])
	const mask = uint64(len(syllables) - 1)
	return " " + syllables[sum&mask] + syllables[sum>>5&mask] + syllables[sum>>10&mask]
}
