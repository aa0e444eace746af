package retention

import "github.com/wisteriahaven/wisteriahaven/decision/cursor"

// entry holds the tokens of one answer and their charged size.
type entry struct {
	request      cursor.Fingerprint
	tokens       []string
	chargedBytes int
}

// chargedBytes returns the bytes of memory charged for an entry with the tokens.
func chargedBytes(tokens []string) int {
	size := entryOverhead
	for _, token := range tokens {
		size += len(token) + tokenOverhead
	}
	return size
}
