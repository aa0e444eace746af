package demo

import (
	"fmt"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// checkAnswer compares an answer with the one that the engines define, token
// by token, and returns what is wrong, "" when nothing is.
func checkAnswer(generation client.Generation, answer client.Answer) string {
	want := engine.Answer{
		Model:     generation.Model,
		Version:   answer.Version,
		Prompt:    generation.Prompt,
		Seed:      answer.Seed,
		MaxTokens: generation.MaxTokens,
	}.Tokens(nil)
	if slices.Equal(answer.Tokens, want) {
		return ""
	}
	for offset := range min(len(want), len(answer.Tokens)) {
		if want[offset] != answer.Tokens[offset] {
			return fmt.Sprintf("token %d is %q, the right one is %q", offset, answer.Tokens[offset], want[offset])
		}
	}
	return fmt.Sprintf("%d tokens, the right answer has %d", len(answer.Tokens), len(want))
}
