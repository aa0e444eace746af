// Package contain ends one part of a process's work at a panic, instead of the process.
package contain

import (
	"fmt"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// Guard logs and counts the panics of the work that it runs. A nil Guard contains none. It is safe for concurrent use.
type Guard struct {
	logger   zerolog.Logger
	registry metrics.Registry
}

// New returns a guard that counts panics in the registry, as "panics" and the part's name.
func New(logger zerolog.Logger, registry metrics.Registry) *Guard {
	return &Guard{logger: logger, registry: registry}
}

// Run runs a part of the work and reports whether it panicked.
func (g *Guard) Run(part string, work func()) (panicked bool) {
	if g == nil {
		work()
		return false
	}
	defer func() {
		if reason := recover(); reason != nil {
			panicked = true
			metrics.GetOrRegisterCounter("panics."+part, g.registry).Inc(1)
			event.Log(g.logger, event.WorkPanicked).Str("part", part).Str("reason", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Send()
		}
	}()
	work()
	return false
}
