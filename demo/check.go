package demo

import (
	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// checkAnswer compares an answer token by token with the one that the stand-in
// engines define. It describes the difference; "" means none.
func checkAnswer(generation client.Generation, answer client.Answer) string {
	want := engine.Answer{
		Model:     generation.Model,
		Version:   answer.Version,
		Prompt:    generation.Prompt,
		Seed:      answer.Seed,
		MaxTokens: generation.MaxTokens,
	}
	return want.Difference(answer.Tokens)
}
