package slopes

import (
	"fmt"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// point holds the costs of one node at one value of the series' variable.
type point struct {
	value float64
	// costs holds one value for each of the series' costs, in their order.
	costs []float64
}

// cost is the name and unit of one cost of a series.
type cost struct {
	name string
	unit string
}

// series holds the costs of one duty at several values of one variable.
type series struct {
	duty     string
	variable string
	costs    []cost
	points   []point
}

// figures returns the values of every point and, for each cost, the slope and the intercept of
// the least-squares line.
func (s series) figures() []experiment.Figure {
	var list []experiment.Figure
	for _, measured := range s.points {
		for i, c := range s.costs {
			name := fmt.Sprintf("%s: %s at %g %s", s.duty, c.name, measured.value, s.variable)
			list = append(list, experiment.Figure{Name: name, Value: measured.costs[i], Unit: c.unit})
		}
	}
	for i, c := range s.costs {
		slope, intercept := s.line(i)
		list = append(list,
			experiment.Figure{Name: s.duty + ": slope of " + c.name, Value: slope, Unit: c.unit + " per " + s.variable},
			experiment.Figure{Name: s.duty + ": intercept of " + c.name, Value: intercept, Unit: c.unit},
		)
	}
	return list
}

// line returns the least-squares line of one cost over the variable. When all points have the
// same value, the slope is 0 and the intercept the mean cost.
func (s series) line(index int) (slope, intercept float64) {
	count := float64(len(s.points))
	var sumX, sumY, sumXX, sumXY float64
	for _, measured := range s.points {
		x, y := measured.value, measured.costs[index]
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	denominator := count*sumXX - sumX*sumX
	if denominator == 0 {
		return 0, sumY / max(count, 1)
	}
	slope = (count*sumXY - sumX*sumY) / denominator
	return slope, (sumY - slope*sumX) / count
}
