package caller

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// CompletionResponse is the response body of a completion that is not streamed.
type CompletionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Version string             `json:"version"`
	Seed    uint64             `json:"seed"`
	Choices []CompletionChoice `json:"choices"`
	Usage   CompletionUsage    `json:"usage"`
}

// CompletionChoice holds the text of a completion that is not streamed.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// CompletionUsage holds the token count and hash of a completion that is not streamed.
type CompletionUsage struct {
	CompletionTokens int              `json:"completion_tokens"`
	Hash             rollinghash.Hash `json:"hash"`
}

// writeCompletionResponse collects the whole answer and writes it as one JSON body.
func (s *Server) writeCompletionResponse(ctx *fasthttp.RequestCtx, answer *answerStream, model, requestID string) error {
	var text strings.Builder
	for next := range answer.frames {
		switch next.kind {
		case frameToken:
			text.WriteString(next.token.Text)
		case frameRestart:
			text.Reset()
		}
	}
	answer.mu.Lock()
	defer answer.mu.Unlock()
	if answer.failure != nil {
		return answer.failure
	}
	body, err := json.Marshal(CompletionResponse{
		ID:      "cmpl-" + requestID,
		Object:  "text_completion",
		Model:   model,
		Version: answer.version,
		Seed:    answer.seed,
		Choices: []CompletionChoice{{Text: text.String(), FinishReason: "stop"}},
		Usage:   CompletionUsage{CompletionTokens: answer.end.Tokens, Hash: answer.end.Hash},
	})
	if err != nil {
		return fault.Wrap(fault.Internal, "transport/caller", "encode answer", err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}
