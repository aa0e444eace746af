package simengine

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// One-way network latencies.
const (
	LatencySameDataCentre = 200 * time.Microsecond
	LatencySameRegion     = time.Millisecond
	LatencyOtherRegion    = 30 * time.Millisecond
)

// Place is the data centre and region in which a process runs.
type Place struct {
	DataCentre string
	Region     string
}

// World is one simulated estate with a virtual clock.
type World struct {
	Random  *rand.Rand
	Engines []*Engine
	Oracle  *Oracle
	// RouterOff makes the router find no engine.
	RouterOff bool
	// AnswerTokens is the length of every answer; zero draws it from the seed.
	AnswerTokens int
	now          time.Duration
	queue        eventQueue
	order        uint64
	cutUntil     map[string]time.Duration
}

// NewWorld returns an empty world.
func NewWorld(seed uint64) *World {
	return &World{
		Random:   rand.New(rand.NewPCG(seed, 0)),
		Oracle:   newOracle(),
		cutUntil: make(map[string]time.Duration),
	}
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// After runs the action after a delay.
func (w *World) After(delay time.Duration, action func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + max(delay, 0), order: w.order, action: action})
}

// Advance runs all actions up to the given time, which becomes the virtual time.
func (w *World) Advance(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		w.runNext()
	}
	w.now = max(w.now, until)
}

// RunUntil runs actions until the condition holds or none is left up to the given
// time. It reports whether the condition holds.
func (w *World) RunUntil(until time.Duration, condition func() bool) bool {
	for !condition() && len(w.queue) > 0 && w.queue[0].at <= until {
		w.runNext()
	}
	return condition()
}

func (w *World) runNext() {
	nextEvent := heap.Pop(&w.queue).(event)
	w.now = nextEvent.at
	nextEvent.action()
}

// Latency returns the one-way latency between two places.
func (w *World) Latency(a, b Place) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return LatencySameDataCentre
	case a.Region == b.Region:
		return LatencySameRegion
	default:
		return LatencyOtherRegion
	}
}

// Cut drops all messages between the two data centres for a time.
func (w *World) Cut(a, b string, duration time.Duration) {
	w.cutUntil[linkName(a, b)] = w.now + duration
}

func (w *World) connected(a, b Place) bool {
	return w.now >= w.cutUntil[linkName(a.DataCentre, b.DataCentre)]
}

func linkName(a, b string) string { return min(a, b) + "|" + max(a, b) }
