package engine

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// TestDecoderMatchesEncodingJSON decodes streams of random chunks with the decoder and
// with encoding/json: no buffer or string reused by the decoder may leak into the next chunk.
func TestDecoderMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var decoder chunkDecoder
		for range rapid.IntRange(1, 5).Draw(t, "chunks") {
			want := engineapi.Chunk{
				ID:      rapid.String().Draw(t, "id"),
				Object:  "text_completion",
				Model:   rapid.String().Draw(t, "model"),
				Version: rapid.String().Draw(t, "version"),
				BootID:  rapid.String().Draw(t, "boot"),
				Seed:    rapid.Uint64().Draw(t, "seed"),
				Offset:  rapid.IntRange(0, 1<<40).Draw(t, "offset"),
				Choices: []engineapi.Choice{{Text: rapid.String().Draw(t, "text")}},
			}
			if rapid.Bool().Draw(t, "last") {
				reason := "stop"
				want.Choices[0].FinishReason = &reason
				want.Usage = &engineapi.Usage{CompletionTokens: want.Offset, Hash: rollinghash.Hash(rapid.Uint64().Draw(t, "hash"))}
			}
			body, err := json.Marshal(want)
			is.NoErr(err)
			var expected engineapi.Chunk
			is.NoErr(json.Unmarshal(body, &expected))
			got, err := decoder.decode(body)
			is.NoErr(err)
			is.Equal(got, expected)
		}
	})
}

func TestDecoderRejectsInvalidChunks(t *testing.T) {
	is := is.New(t)
	for _, data := range []string{``, `{`, `7`, `{}`, `{"offset":1}`, `{"offset":"1","choices":[{}]}`, `{"choices":[{}]}`, `{"offset":1,"choices":[{},{}]}`} {
		var decoder chunkDecoder
		_, err := decoder.decode([]byte(data))
		is.True(fault.HasCode(err, fault.EngineProtocol))
	}
}

func BenchmarkDecode(b *testing.B) {
	data := []byte(`{"id":"stream-1","object":"text_completion","model":"m","version":"1","boot_id":"boot-1","seed":7,"offset":12,"choices":[{"index":0,"text":" token","finish_reason":null}]}`)
	var decoder chunkDecoder
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decoder.decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
