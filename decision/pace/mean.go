package pace

// mean is a moving mean with its mean deviation.
type mean struct {
	value     float64
	deviation float64
	seen      bool
}

func (m *mean) add(value float64) {
	if !m.seen {
		*m = mean{value: value, deviation: value / 4, seen: true}
		return
	}
	distance := value - m.value
	m.value += weight * distance
	m.deviation += weight * (max(distance, -distance) - m.deviation)
}

// low returns a value that few are below.
func (m *mean) low() float64 { return max(m.value-deviations*m.deviation, leastPart*m.value) }
