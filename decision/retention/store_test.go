package retention_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/retention"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

func TestStoreKeepsItsBoundAndNeverReturnsAnotherText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		limit := rapid.IntRange(0, 3000).Draw(t, "limit")
		store := retention.New(limit)
		kept := make(map[cursor.Fingerprint][]string)
		t.Repeat(map[string]func(*rapid.T){
			"keep": func(t *rapid.T) {
				request := drawRequest(t)
				kept[request] = rapid.SliceOfN(rapid.StringN(0, 5, 20), 0, 20).Draw(t, "tokens")
				store.Put(request, kept[request])
			},
			"find": func(t *rapid.T) {
				request := drawRequest(t)
				tokens := kept[request]
				offset := rapid.IntRange(0, len(tokens)).Draw(t, "offset")
				found, ok := store.Find(request, offset, rollinghash.Of(tokens[:offset]))
				if ok {
					is.Equal(len(found), offset)
					is.Equal(rollinghash.Of(found), rollinghash.Of(tokens[:offset]))
				}
				_, ok = store.Find(request, offset, rollinghash.Of(tokens[:offset])+1)
				is.True(!ok)
			},
			"": func(*rapid.T) { is.True(store.Stats().Bytes <= limit) },
		})
	})
}

func drawRequest(t *rapid.T) cursor.Fingerprint {
	return cursor.Request{Prompt: strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "request"))}.Fingerprint()
}

func TestAnswerUsedLeastRecentlyLeavesFirst(t *testing.T) {
	is := is.New(t)
	store := retention.New(600)
	first := cursor.Request{Prompt: "first"}.Fingerprint()
	second := cursor.Request{Prompt: "second"}.Fingerprint()
	third := cursor.Request{Prompt: "third"}.Fingerprint()
	store.Put(first, []string{"a"})
	store.Put(second, []string{"b"})
	_, ok := store.Find(first, 0, 0)
	is.True(ok)
	store.Put(third, []string{"c"})
	_, ok = store.Find(second, 0, 0)
	is.True(!ok)
	_, ok = store.Find(first, 0, 0)
	is.True(ok)
}
