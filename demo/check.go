package demo

import (
	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
)

// checkAnswer compares an answer with the one that the engines define, token
// by token, and returns what is wrong, "" when nothing is.
func checkAnswer(generation client.Generation, answer client.Answer) string {
	right := engine.Answer{
		Model:     generation.Model,
		Version:   answer.Version,
		Prompt:    generation.Prompt,
		Seed:      answer.Seed,
		MaxTokens: generation.MaxTokens,
	}
	return right.Difference(answer.Tokens)
}
