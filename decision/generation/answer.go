package generation

import "github.com/wisteriahaven/wisteriahaven/rollinghash"

// anchorDistance is the number of delivered tokens that a reattached stream
// repeats, to compare them.
const anchorDistance = 4

// offsetHash is an offset in the answer and the hash over the tokens before it.
type offsetHash struct {
	offset int
	hash   rollinghash.Hash
}

// answer is the delivered part of the answer.
type answer struct {
	offset int
	hash   rollinghash.Hash
	// tokens holds all delivered tokens from offset 0 when hasTokens is set.
	tokens    []string
	hasTokens bool
	// recentHashes holds the hashes at the last recentCount offsets, oldest first;
	// recentCount is at least 1.
	recentHashes [anchorDistance + 1]offsetHash
	recentCount  int
}

func newAnswer() answer {
	return answer{hasTokens: true, recentCount: 1}
}

// resumedAnswer returns the delivered part at a cursor; tokens may be nil.
func resumedAnswer(offset int, hash rollinghash.Hash, anchor offsetHash, tokens []string) answer {
	resumed := answer{offset: offset, hash: hash, tokens: tokens, hasTokens: tokens != nil || offset == 0, recentCount: 1}
	resumed.recentHashes[0] = anchor
	return resumed
}

// add appends a delivered token.
func (a *answer) add(text string) {
	a.offset++
	a.hash = a.hash.Extend(text)
	if a.hasTokens {
		a.tokens = append(a.tokens, text)
	}
	if a.recentCount == len(a.recentHashes) {
		copy(a.recentHashes[:], a.recentHashes[1:])
		a.recentCount--
	}
	a.recentHashes[a.recentCount] = offsetHash{offset: a.offset, hash: a.hash}
	a.recentCount++
}

// anchor returns the offset and hash from which a reattached stream is read.
func (a *answer) anchor() offsetHash { return a.recentHashes[0] }

// text returns the delivered tokens; ok is false when only their hash is known.
func (a *answer) text() (tokens []string, ok bool) {
	return a.tokens[:len(a.tokens):len(a.tokens)], a.hasTokens
}
