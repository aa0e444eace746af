package experiment

// Target is one bound of the design with the value measured against it.
type Target struct {
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	Met      bool    `json:"met"`
}

// AtMost returns a target that is met when measured <= bound.
func AtMost(name, unit string, bound, measured float64) Target {
	return Target{Name: name, Bound: bound, Measured: measured, Unit: unit, Met: measured <= bound}
}

// AtLeast returns a target that is met when measured >= bound.
func AtLeast(name, unit string, bound, measured float64) Target {
	return Target{Name: name, Bound: bound, Measured: measured, Unit: unit, Met: measured >= bound}
}
