// Package moving estimates values that change with time.
package moving

// Weight is that of the newest value in a mean.
const Weight = 0.1

// firstDeviation is the mean deviation that is assumed after the first value, as a
// part of it.
const firstDeviation = 0.25

// Mean is a moving mean with its mean deviation. The zero value has seen nothing. It
// is not safe for concurrent use.
type Mean struct {
	value     float64
	deviation float64
	seen      bool
}

// Add takes one value.
func (m *Mean) Add(value float64) {
	if !m.seen {
		*m = Mean{value: value, deviation: firstDeviation * value, seen: true}
		return
	}
	distance := value - m.value
	m.value += Weight * distance
	m.deviation += Weight * (max(distance, -distance) - m.deviation)
}

// Seen reports whether there was a value.
func (m *Mean) HasValue() bool { return m.seen }

// Value returns the mean.
func (m *Mean) Value() float64 { return m.value }

// Offset returns the mean plus a number of mean deviations.
func (m *Mean) PlusDeviations(deviations float64) float64 { return m.value + deviations*m.deviation }
