package message

// CacheReport holds what a model engine recently stated about the prompts in its KV cache.
type CacheReport struct {
	// TokensByPrompt holds the number of tokens that the engine keeps of the last part of each
	// prompt, by the key of the prompt.
	TokensByPrompt map[string]int
	// Partial is set when the engine has dropped a part of its statements, so that it may keep more
	// prompts.
	Partial bool
}
