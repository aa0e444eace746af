package generation

import (
	"cmp"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// Defaults of Parts.
const (
	defaultKeepAlive     = 5 * time.Second
	defaultRetainedBytes = 16 << 20
)

// Parts are the dependencies and settings of a Generator.
type Parts struct {
	Router serving.Router
	// Admitter may be nil; every request is then admitted.
	Admitter serving.Admitter
	Guard    serving.Guard
	Recorder serving.Recorder
	Engines  *engine.Client
	// Cursors are the keys that sign and verify cursors.
	Cursors *cursor.Keys
	Metrics metrics.Registry
	Logger  zerolog.Logger
	// KeepAlive is the interval of comments on an idle answer.
	KeepAlive time.Duration
	// RetainedBytes is the maximum memory for the tokens of interrupted answers.
	RetainedBytes int
}

func (p Parts) withDefaults() Parts {
	p.KeepAlive = cmp.Or(p.KeepAlive, defaultKeepAlive)
	p.RetainedBytes = cmp.Or(p.RetainedBytes, defaultRetainedBytes)
	if p.Metrics == nil {
		p.Metrics = metrics.NewRegistry()
	}
	return p
}
