package ring_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/ring"
)

func TestFullRingDropsAndCounts(t *testing.T) {
	is := is.New(t)
	items := ring.New[int]("test", 2)
	is.True(items.Offer(1))
	is.True(items.Offer(2))
	is.True(!items.Offer(3))
	is.Equal(items.Stats(), ring.Stats{Name: "test", Depth: 2, Capacity: 2, Passed: 2, Dropped: 1})
}
