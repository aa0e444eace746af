package engine

import (
	"fmt"
	"slices"
)

// Difference says where tokens differ from the whole right answer, "" when they
// are it.
func (a Answer) Difference(tokens []string) string {
	want := a.Tokens(nil)
	if slices.Equal(tokens, want) {
		return ""
	}
	for offset := range min(len(want), len(tokens)) {
		if want[offset] != tokens[offset] {
			return fmt.Sprintf("token %d is %q, the right one is %q", offset, tokens[offset], want[offset])
		}
	}
	return fmt.Sprintf("%d tokens, the right answer has %d", len(tokens), len(want))
}
