package configspread

import "slices"

// result holds the measurements of one run. Times are in seconds.
type result struct {
	// calm and deaths are the times until a change was in force, without and
	// with the failure of a relay.
	calm   []float64
	deaths []float64
	// standing is the maximum number of open watches of the large data centre.
	standing float64
	// calls is the number of platform calls per change and instance.
	calls float64
	// behind is the number of instances without the newest revision at the end.
	behind float64
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
