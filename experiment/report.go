package experiment

import "context"

// Options are the inputs of a run.
type Options struct {
	// Seed fixes every random choice.
	Seed uint64
	// Scale multiplies the default size of a run; at scale 1 it ends within a minute.
	Scale float64
}

// Setting is one setting that a run used.
type Setting struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report is the result of one run.
type Report struct {
	Experiment string    `json:"experiment"`
	Seed       uint64    `json:"seed"`
	Settings   []Setting `json:"settings"`
	Figures    []Figure  `json:"figures"`
	Targets    []Target  `json:"targets"`
}

// Met reports whether every target was met.
func (r Report) Met() bool {
	for _, target := range r.Targets {
		if !target.Met {
			return false
		}
	}
	return true
}

// Experiment is one named experiment.
type Experiment struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, options Options) (Report, error)
}
