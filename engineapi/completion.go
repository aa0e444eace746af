package engineapi

import "github.com/wisteriahaven/wisteriahaven/rollinghash"

// NonceHeader carries a value that the answer must echo.
const NonceHeader = "X-Request-Nonce"

// Headers of a stream's answer. They name the stream before its first token,
// so that it can be resumed and cancelled during its prefill.
const (
	StreamIDHeader = "X-Stream-ID"
	BootIDHeader   = "X-Boot-ID"
	VersionHeader  = "X-Model-Version"
	SeedHeader     = "X-Seed"
)

// IdleParameter is the query parameter of a cancel that, when it is "true", ends
// the stream only if no connection reads it.
const IdleParameter = "idle"

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority,omitempty"`
	// Prefix holds tokens of the answer that exist already; the engine continues
	// after them and its first chunk has offset len(Prefix).
	Prefix []string `json:"prefix,omitempty"`
	// Resume attaches to a running or finished stream of this engine.
	Resume *Resume `json:"resume,omitempty"`
	// Attempt is the attempt number at the entry instance; an engine ends an
	// older attempt of the same RequestID when a newer one arrives.
	Attempt   uint32 `json:"attempt,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// Resume names a stream of an engine and the next offset to send.
type Resume struct {
	StreamID string `json:"stream_id"`
	BootID   string `json:"boot_id"`
	Offset   int    `json:"offset"`
}

// Chunk is the data of one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	BootID  string   `json:"boot_id"`
	Seed    uint64   `json:"seed"`
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	// Usage is set in the last chunk, which has no token.
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is one alternative of a chunk; engines send exactly one.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage ends a stream: the token count of the whole answer and the tokens' hash.
type Usage struct {
	CompletionTokens int              `json:"completion_tokens"`
	Hash             rollinghash.Hash `json:"hash"`
	// ComputedTokens counts the tokens that this engine computed for the stream.
	ComputedTokens int `json:"computed_tokens"`
}
