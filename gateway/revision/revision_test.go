package revision_test

import (
	"cmp"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

func TestRevisionsCompareByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64Range(0, revision.MaxEra), rapid.Uint64Range(0, revision.MaxNumber)
		era1, number1 := era.Draw(t, "era"), number.Draw(t, "number")
		era2, number2 := era.Draw(t, "other era"), number.Draw(t, "other number")
		first, err := revision.New(era1, number1)
		if err != nil {
			t.Fatal(err)
		}
		second, err := revision.New(era2, number2)
		if err != nil {
			t.Fatal(err)
		}
		if first.Era() != era1 || first.Number() != number1 {
			t.Fatalf("%d/%d became %v", era1, number1, first)
		}
		if cmp.Compare(first, second) != cmp.Or(cmp.Compare(era1, era2), cmp.Compare(number1, number2)) {
			t.Fatalf("%v and %v are in the wrong order", first, second)
		}
	})
}

func TestTooLargeRevisionsAreInvalid(t *testing.T) {
	is := is.New(t)
	_, err := revision.New(revision.MaxEra+1, 1)
	is.True(fault.HasCode(err, fault.StoreEraInvalid))
	_, err = revision.New(1, revision.MaxNumber+1)
	is.True(fault.HasCode(err, fault.StoreEraInvalid))
	made, err := revision.New(2, 17)
	is.NoErr(err)
	is.Equal(made.String(), "2/17")
}
