package engine

import (
	"fmt"
	"slices"
)

// Difference describes how tokens differ from the whole expected answer; it
// returns "" when they are equal.
func (a Answer) Difference(tokens []string) string {
	want := a.Tokens(nil)
	if slices.Equal(tokens, want) {
		return ""
	}
	for offset := range min(len(want), len(tokens)) {
		if want[offset] != tokens[offset] {
			return fmt.Sprintf("token %d is %q, want %q", offset, tokens[offset], want[offset])
		}
	}
	return fmt.Sprintf("got %d tokens, want %d", len(tokens), len(want))
}
