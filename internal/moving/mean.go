// Package moving estimates the mean and the deviation of values that change with
// time.
package moving

// Weight is the weight of the newest value in a mean.
const Weight = 0.1

// initialDeviation is the mean deviation assumed after the first value, as a fraction
// of that value.
const initialDeviation = 0.25

// Mean is an exponential moving mean with its mean deviation. The zero value is
// ready for use. It is not safe for concurrent use.
type Mean struct {
	value     float64
	deviation float64
	hasValue  bool
}

// Add updates the mean and the deviation by one value.
func (m *Mean) Add(value float64) {
	if !m.hasValue {
		*m = Mean{value: value, deviation: initialDeviation * value, hasValue: true}
		return
	}
	distance := value - m.value
	m.value += Weight * distance
	m.deviation += Weight * (max(distance, -distance) - m.deviation)
}

// HasValue reports whether a value was added.
func (m *Mean) HasValue() bool { return m.hasValue }

// Value returns the mean.
func (m *Mean) Value() float64 { return m.value }

// Deviation returns the mean deviation.
func (m *Mean) Deviation() float64 { return m.deviation }

// PlusDeviations returns the mean plus a number of mean deviations.
func (m *Mean) PlusDeviations(deviations float64) float64 { return m.value + deviations*m.deviation }
