package rendezvous_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

func TestRemovingAnotherNameKeepsTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 20, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		top := rendezvous.Top(key, names, len(names))
		owner := rendezvous.Owner(key, names)
		is.Equal(top[0], owner)
		last := top[len(top)-1]
		var remaining []string
		for _, name := range names {
			if name != last {
				remaining = append(remaining, name)
			}
		}
		is.Equal(rendezvous.Owner(key, remaining), owner)
	})
}
