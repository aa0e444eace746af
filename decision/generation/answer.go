package generation

import "github.com/wisteriahaven/wisteriahaven/rollinghash"

// anchorDistance is the number of delivered tokens that a reattached stream
// repeats, to compare them.
const anchorDistance = 4

// mark is an offset in the answer and the hash over the tokens before it.
type mark struct {
	offset int
	hash   rollinghash.Hash
}

// answer is the delivered part of the answer.
type answer struct {
	offset int
	hash   rollinghash.Hash
	// tokens holds all delivered tokens from offset 0 when whole is set.
	tokens []string
	whole  bool
	// trail holds the last marks, oldest first; marks is their number, at least 1.
	trail [anchorDistance + 1]mark
	marks int
}

func newAnswer() answer {
	return answer{whole: true, marks: 1}
}

// resumedAnswer returns the delivered part at a cursor; tokens may be nil.
func resumedAnswer(offset int, hash rollinghash.Hash, anchor mark, tokens []string) answer {
	resumed := answer{offset: offset, hash: hash, tokens: tokens, whole: tokens != nil || offset == 0, marks: 1}
	resumed.trail[0] = anchor
	return resumed
}

// add appends a delivered token.
func (a *answer) add(text string) {
	a.offset++
	a.hash = a.hash.Extend(text)
	if a.whole {
		a.tokens = append(a.tokens, text)
	}
	if a.marks == len(a.trail) {
		copy(a.trail[:], a.trail[1:])
		a.marks--
	}
	a.trail[a.marks] = mark{offset: a.offset, hash: a.hash}
	a.marks++
}

// anchor returns the offset and hash from which a reattached stream is read.
func (a *answer) anchor() mark { return a.trail[0] }

// text returns the delivered tokens; ok is false when only their hash is known.
func (a *answer) text() (tokens []string, ok bool) {
	return a.tokens[:len(a.tokens):len(a.tokens)], a.whole
}
