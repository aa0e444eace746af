package share_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

func TestEqualPartsSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		limit := rapid.IntRange(0, 1000).Draw(t, "limit")
		var names []string
		for i := range rapid.IntRange(1, 64).Draw(t, "instances") {
			names = append(names, fmt.Sprint("instance-", i))
		}
		sum, least, most := 0, limit, 0
		for i, name := range names {
			part := share.EqualPart("key", limit, name, slices.Delete(slices.Clone(names), i, i+1))
			sum, least, most = sum+part, min(least, part), max(most, part)
		}
		is.Equal(sum, limit)
		is.True(most-least <= 1)
	})
}
