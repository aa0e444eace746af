package routing

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/decision/load"
)

// Place is where the instance itself is.
type Place struct {
	DataCentre string
	Region     string
}

// Options tune a Router.
type Options struct {
	Instance string
	Place    Place
	// SubsetSize bounds the servers kept of one group in one data centre;
	// zero keeps all.
	SubsetSize int
	Breaker    breaker.Config
	Load       load.Config
	// SlowStart is the time in which a new server reaches its full share, and
	// SlowStartFloor the part of it that it starts with.
	SlowStart      time.Duration
	SlowStartFloor float64
	// Seed fixes the random choices; zero draws one.
	Seed uint64
}

// Defaults of Options.
const (
	defaultSlowStart      = 30 * time.Second
	defaultSlowStartFloor = 0.25
	// DefaultSubsetSize keeps every server of today's estates and bounds what
	// one instance polls in a large one.
	DefaultSubsetSize = 64
)

func (o Options) withDefaults() Options {
	if o.Breaker == (breaker.Config{}) {
		o.Breaker = breaker.DefaultConfig()
	}
	if o.Load == (load.Config{}) {
		o.Load = load.DefaultConfig()
	}
	if o.SlowStart == 0 {
		o.SlowStart = defaultSlowStart
		o.SlowStartFloor = defaultSlowStartFloor
	}
	if o.SubsetSize == 0 {
		o.SubsetSize = DefaultSubsetSize
	}
	return o
}
