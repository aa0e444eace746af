package engine

import (
	"github.com/valyala/fastjson"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// chunkDecoder decodes the chunks of one stream. It reuses its buffers and the strings that all
// chunks of a stream have in common, so that decoding a token allocates one string only.
type chunkDecoder struct {
	parser fastjson.Parser
	last   engineapi.Chunk
	choice [1]engineapi.Choice
}

// decode decodes one chunk, whose Choices are valid until the next call. Errors
// are EngineProtocol.
func (d *chunkDecoder) decode(data []byte) (engineapi.Chunk, error) {
	value, err := d.parser.ParseBytes(data)
	if err != nil {
		return engineapi.Chunk{}, fault.Wrap(fault.EngineProtocol, domain, "decode event", err)
	}
	choices := value.GetArray("choices")
	if len(choices) != 1 {
		return engineapi.Chunk{}, fault.New(fault.EngineProtocol, "event without exactly one choice")
	}
	if offset := value.Get("offset"); offset == nil || offset.Type() != fastjson.TypeNumber {
		return engineapi.Chunk{}, fault.New(fault.EngineProtocol, "event without an offset")
	}
	d.last = engineapi.Chunk{
		ID:      reuseString(d.last.ID, value.GetStringBytes("id")),
		Object:  reuseString(d.last.Object, value.GetStringBytes("object")),
		Model:   reuseString(d.last.Model, value.GetStringBytes("model")),
		Version: reuseString(d.last.Version, value.GetStringBytes("version")),
		BootID:  reuseString(d.last.BootID, value.GetStringBytes("boot_id")),
		Seed:    value.GetUint64("seed"),
		Offset:  value.GetInt("offset"),
		Choices: d.choice[:],
		Usage:   parseUsage(value.Get("usage")),
	}
	d.choice[0] = parseChoice(choices[0])
	return d.last, nil
}

// reuseString returns the previous string if it equals the bytes, to save an allocation.
func reuseString(previous string, bytes []byte) string {
	if previous == string(bytes) {
		return previous
	}
	return string(bytes)
}

func parseChoice(value *fastjson.Value) engineapi.Choice {
	choice := engineapi.Choice{Index: value.GetInt("index"), Text: string(value.GetStringBytes("text"))}
	if reason := value.GetStringBytes("finish_reason"); reason != nil {
		text := string(reason)
		choice.FinishReason = &text
	}
	return choice
}

// parseUsage returns the usage of the last chunk, and nil for chunks without one.
func parseUsage(value *fastjson.Value) *engineapi.Usage {
	if value == nil || value.Type() != fastjson.TypeObject {
		return nil
	}
	return &engineapi.Usage{
		CompletionTokens: value.GetInt("completion_tokens"),
		Hash:             rollinghash.Hash(value.GetUint64("hash")),
		ComputedTokens:   value.GetInt("computed_tokens"),
	}
}
