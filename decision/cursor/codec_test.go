package cursor_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

var (
	oldKey = settings.Key{ID: "2026-11", Secret: strings.Repeat("a1", 32)}
	newKey = settings.Key{ID: "2026-12", Secret: strings.Repeat("b2", 32)}
)

func codecOf(t testing.TB, active string, keys ...settings.Key) *cursor.Codec {
	ring, err := cursor.NewKeys(settings.KeyRing{Active: active, Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	return cursor.NewCodec(ring)
}

func drawPosition(t *rapid.T) cursor.Position {
	name := rapid.StringMatching(`[a-z0-9.-]{0,20}`)
	anchor := rapid.IntRange(0, 100_000).Draw(t, "anchor")
	return cursor.Position{
		Request:      cursor.Request{Prompt: name.Draw(t, "prompt")}.Fingerprint(),
		Server:       name.Draw(t, "server"),
		StreamID:     name.Draw(t, "stream"),
		BootID:       name.Draw(t, "boot"),
		Model:        name.Draw(t, "model"),
		Version:      name.Draw(t, "version"),
		Seed:         rapid.Uint64().Draw(t, "seed"),
		Attempt:      uint32(rapid.IntRange(0, 1000).Draw(t, "attempt")),
		Offset:       anchor + rapid.IntRange(0, 4).Draw(t, "distance"),
		Hash:         rollinghash.Hash(rapid.Uint64().Draw(t, "hash")),
		AnchorOffset: anchor,
		AnchorHash:   rollinghash.Hash(rapid.Uint64().Draw(t, "anchorHash")),
	}
}

func TestEveryKeyOfTheRingVerifies(t *testing.T) {
	before := codecOf(t, oldKey.ID, oldKey)
	during := codecOf(t, newKey.ID, oldKey, newKey)
	after := codecOf(t, newKey.ID, newKey)
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		position := drawPosition(t)
		decoded, err := during.Decode(before.Encode(&position))
		is.NoErr(err)
		is.Equal(decoded, position)
		decoded, err = after.Decode(during.Encode(&position))
		is.NoErr(err)
		is.Equal(decoded, position)
		_, err = after.Decode(before.Encode(&position))
		is.True(fault.HasCode(err, fault.CursorInvalid))
	})
}

func TestAlteredCursorIsRefused(t *testing.T) {
	codec := codecOf(t, oldKey.ID, oldKey)
	forger := codecOf(t, oldKey.ID, settings.Key{ID: oldKey.ID, Secret: newKey.Secret})
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		position := drawPosition(t)
		text := []byte(codec.Encode(&position))
		index := rapid.IntRange(0, len(text)-1).Draw(t, "index")
		replacement := rapid.Byte().Filter(func(b byte) bool { return b != text[index] }).Draw(t, "byte")
		text[index] = replacement
		_, err := codec.Decode(string(text))
		is.True(fault.HasCode(err, fault.CursorInvalid))
		_, err = codec.Decode(string(text[:index]))
		is.True(fault.HasCode(err, fault.CursorInvalid))
		_, err = codec.Decode(forger.Encode(&position))
		is.True(fault.HasCode(err, fault.CursorInvalid))
	})
}

func TestFingerprintCoversEveryField(t *testing.T) {
	is := is.New(t)
	base := cursor.Request{Service: "s", Model: "m", Prompt: "p", MaxTokens: 1, Key: "k", ClientAccount: "c"}
	seen := map[cursor.Fingerprint]bool{base.Fingerprint(): true}
	changes := []func(*cursor.Request){
		func(r *cursor.Request) { r.Service = "sm"; r.Model = "" },
		func(r *cursor.Request) { r.Model = "x" },
		func(r *cursor.Request) { r.Prompt = "x" },
		func(r *cursor.Request) { r.MaxTokens = 2 },
		func(r *cursor.Request) { r.Key = "x" },
		func(r *cursor.Request) { r.ClientAccount = "x" },
	}
	for _, change := range changes {
		changed := base
		change(&changed)
		is.True(!seen[changed.Fingerprint()])
		seen[changed.Fingerprint()] = true
	}
}

func TestUnusableKeyRingsAreRefused(t *testing.T) {
	is := is.New(t)
	rings := []settings.KeyRing{
		{},
		{Active: "other", Keys: []settings.Key{oldKey}},
		{Active: "short", Keys: []settings.Key{{ID: "short", Secret: "a1"}}},
		{Active: oldKey.ID, Keys: []settings.Key{oldKey, oldKey}},
	}
	for _, ring := range rings {
		_, err := cursor.NewKeys(ring)
		is.True(fault.HasCode(err, fault.SettingsInvalid))
	}
}

func BenchmarkEncode(b *testing.B) {
	codec := codecOf(b, oldKey.ID, oldKey)
	position := cursor.Position{Server: "engine-oberbayern-1-07", StreamID: "9f1c2d3e4a5b6c7d", BootID: "0011223344556677", Model: "wisteria-large", Version: "2026-10", Seed: 1 << 60, Attempt: 1, Offset: 4000, AnchorOffset: 3996}
	b.ReportAllocs()
	for b.Loop() {
		position.Offset++
		position.Hash++
		position.AnchorOffset++
		_ = codec.Encode(&position)
	}
}
