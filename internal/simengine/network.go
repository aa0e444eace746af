package simengine

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
)

// transmit brings something to an engine unless the link is cut.
func (w *World) transmit(from Place, engine *Engine, arrive func()) {
	if !w.connected(from, engine.Place) {
		return
	}
	w.After(w.Latency(from, engine.Place), arrive)
}

func (w *World) find(name string) *Engine {
	index := slices.IndexFunc(w.Engines, func(e *Engine) bool { return e.Name == name })
	return w.Engines[index]
}

// pick is a small router: the instance's data centre first, then its region,
// a random one of the best; servers to avoid come last. Like a real router it
// does not know which engines are down.
func (w *World) pick(from Place, ask generation.RequestRoute) *Engine {
	var best []*Engine
	bestScore := -1
	for _, engine := range w.Engines {
		if w.RouterOff || slices.Contains(ask.Exclude, engine.Name) || (ask.Version != "" && engine.Version != ask.Version) {
			continue
		}
		score := w.score(from, engine, ask)
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

// Scores of a server for the router.
const (
	scoreNotAvoided     = 8
	scorePlaceNotSilent = 4
	scoreSameDataCentre = 2
	scoreSameRegion     = 1
)

func (w *World) score(from Place, engine *Engine, ask generation.RequestRoute) int {
	score := 0
	if !slices.Contains(ask.Avoid, engine.Name) {
		score += scoreNotAvoided
	}
	if !slices.ContainsFunc(ask.AvoidNear, func(name string) bool {
		return w.find(name).Place.DataCentre == engine.Place.DataCentre
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
