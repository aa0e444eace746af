package retention

import "github.com/wisteriahaven/wisteriahaven/decision/cursor"

// entry is one kept answer.
type entry struct {
	request cursor.Fingerprint
	tokens  []string
	size    int
}

// sizeOf returns the memory charged for the tokens, in bytes.
func sizeOf(tokens []string) int {
	size := entryOverhead
	for _, token := range tokens {
		size += len(token) + tokenOverhead
	}
	return size
}
