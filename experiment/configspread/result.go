package configspread

import "slices"

// result is what one run showed. Times are in seconds.
type result struct {
	calm     []float64
	deaths   []float64
	standing float64
	calls    float64
	behind   float64
}

func (r *result) add(seconds float64, killed bool) {
	if killed {
		r.deaths = append(r.deaths, seconds)
		return
	}
	r.calm = append(r.calm, seconds)
}

func (r *result) worst() float64 { return largest(r.calm) }

func (r *result) worstDeath() float64 { return largest(r.deaths) }

func (r *result) median() float64 {
	sorted := slices.Sorted(slices.Values(r.calm))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

func largest(list []float64) float64 {
	worst := 0.0
	for _, value := range list {
		worst = max(worst, value)
	}
	return worst
}
