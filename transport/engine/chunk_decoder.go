package engine

import (
	"github.com/valyala/fastjson"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// chunkDecoder reads the chunks of one stream. It keeps its buffers and the
// strings that all chunks of a stream share, so that a token costs one string.
type chunkDecoder struct {
	parser fastjson.Parser
	last   engineapi.Chunk
	choice [1]engineapi.Choice
}

// decode reads one chunk. Its Choices are valid until the next call. Errors are
// EngineProtocol.
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
		ID:      shared(d.last.ID, value.GetStringBytes("id")),
		Object:  shared(d.last.Object, value.GetStringBytes("object")),
		Model:   shared(d.last.Model, value.GetStringBytes("model")),
		Version: shared(d.last.Version, value.GetStringBytes("version")),
		BootID:  shared(d.last.BootID, value.GetStringBytes("boot_id")),
		Seed:    value.GetUint64("seed"),
		Offset:  value.GetInt("offset"),
		Choices: d.choice[:],
		Usage:   usageOf(value.Get("usage")),
	}
	d.choice[0] = choiceOf(choices[0])
	return d.last, nil
}

// shared returns the known string when the bytes are equal to it.
func shared(known string, bytes []byte) string {
	if known == string(bytes) {
		return known
	}
	return string(bytes)
}

func choiceOf(value *fastjson.Value) engineapi.Choice {
	choice := engineapi.Choice{Index: value.GetInt("index"), Text: string(value.GetStringBytes("text"))}
	if reason := value.GetStringBytes("finish_reason"); reason != nil {
		text := string(reason)
		choice.FinishReason = &text
	}
	return choice
}

// usageOf reads the closing usage, nil when there is none.
func usageOf(value *fastjson.Value) *engineapi.Usage {
	if value == nil || value.Type() != fastjson.TypeObject {
		return nil
	}
	return &engineapi.Usage{
		CompletionTokens: value.GetInt("completion_tokens"),
		Hash:             rollinghash.Hash(value.GetUint64("hash")),
		ComputedTokens:   value.GetInt("computed_tokens"),
	}
}
