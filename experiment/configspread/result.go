package configspread

import "slices"

// result holds the measurements of one run. Times are in seconds.
type result struct {
	// withoutFailure and withFailure are the times until a change was in force, without and
	// with the failure of a relay.
	withoutFailure []float64
	withFailure    []float64
	openWatches    float64 // maximum of the large data centre
	callsPerChange float64 // platform calls per change and instance
	outdated       float64 // instances without the newest revision at the end
}

func (r *result) add(seconds float64, relayFailed bool) {
	if relayFailed {
		r.withFailure = append(r.withFailure, seconds)
		return
	}
	r.withoutFailure = append(r.withoutFailure, seconds)
}

func (r *result) worst() float64 { return largest(r.withoutFailure) }

func (r *result) worstWithFailure() float64 { return largest(r.withFailure) }

func (r *result) median() float64 {
	sorted := slices.Sorted(slices.Values(r.withoutFailure))
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
