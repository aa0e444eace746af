package caller

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// WholeAnswer is the body of a completion that was not streamed.
type CompletionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Version string             `json:"version"`
	Seed    uint64             `json:"seed"`
	Choices []CompletionChoice `json:"choices"`
	Usage   CompletionUsage    `json:"usage"`
}

// WholeChoice is the text of a whole answer.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// WholeUsage counts the tokens of a whole answer.
type CompletionUsage struct {
	CompletionTokens int              `json:"completion_tokens"`
	Hash             rollinghash.Hash `json:"hash"`
}

// writeWholeAnswer collects the answer and writes it as one body.
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
