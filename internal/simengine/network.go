package simengine

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
)

// transmit runs arrive after the latency to an engine unless the link is cut.
func (w *World) transmit(from Place, engine *Engine, arrive func()) {
	if !w.connected(from, engine.Place) {
		return
	}
	w.After(w.Latency(from, engine.Place), arrive)
}

func (w *World) engineByName(name string) *Engine {
	index := slices.IndexFunc(w.Engines, func(e *Engine) bool { return e.Name == name })
	return w.Engines[index]
}

// chooseEngine chooses an engine like a router: it prefers the instance's data centre,
// then its region, takes servers to avoid last, and chooses at random among
// equals. Like a real router it does not know which engines have crashed.
func (w *World) chooseEngine(from Place, request generation.RequestRoute) *Engine {
	var best []*Engine
	bestScore := -1
	for _, engine := range w.Engines {
		if w.RouterOff || slices.Contains(request.Exclude, engine.Name) || (request.Version != "" && engine.Version != request.Version) {
			continue
		}
		score := w.score(from, engine, request)
		if score > bestScore {
			best, bestScore = nil, score
		}
		if score == bestScore {
			best = append(best, engine)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[w.Random.IntN(len(best))]
}

// The scores that the router adds up for an engine.
const (
	scoreNotAvoided     = 8
	scorePlaceNotSilent = 4
	scoreSameDataCentre = 2
	scoreSameRegion     = 1
)

func (w *World) score(from Place, engine *Engine, request generation.RequestRoute) int {
	score := 0
	if !slices.Contains(request.Avoid, engine.Name) {
		score += scoreNotAvoided
	}
	if !slices.ContainsFunc(request.AvoidNear, func(name string) bool {
		return w.engineByName(name).Place.DataCentre == engine.Place.DataCentre
	}) {
		score += scorePlaceNotSilent
	}
	if engine.Place.DataCentre == from.DataCentre {
		score += scoreSameDataCentre
	}
	if engine.Place.Region == from.Region {
		score += scoreSameRegion
	}
	return score
}
