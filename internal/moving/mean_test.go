package moving

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMeanFollowsItsValues(t *testing.T) {
	is := is.New(t)
	var m Mean
	is.True(!m.HasValue())
	m.Add(8)
	is.True(m.HasValue())
	is.Equal(m.Value(), 8.0)
	is.Equal(m.PlusDeviations(2), 12.0)
	for range 200 {
		m.Add(3)
	}
	is.True(m.Value() > 2.99 && m.Value() < 3.01)
	is.True(m.PlusDeviations(1)-m.Value() < 0.01) // steady values deviate no more
}

func TestMeanStaysAmongItsValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 50).Draw(t, "values")
		var m Mean
		low, high := values[0], values[0]
		for _, value := range values {
			m.Add(value)
			low, high = min(low, value), max(high, value)
		}
		const rounding = 1e-9
		if m.Value() < low-rounding || m.Value() > high+rounding || m.PlusDeviations(1) < m.Value() {
			t.Fatalf("%v of values from %v to %v", m, low, high)
		}
	})
}
