package routing

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/decision/load"
)

// Place is the location of an instance.
type Place struct {
	DataCentre string
	Region     string
}

// Options are the parameters of a Router.
type Options struct {
	Instance string
	Place    Place
	// SubsetSize is the maximum number of servers that the instance uses of
	// one group in one data centre; zero means DefaultSubsetSize, a negative
	// number means no limit.
	SubsetSize int
	Breaker    breaker.Config
	Load       load.Config
	// SlowStart is the time in which a new server reaches its full capacity,
	// and SlowStartFloor the fraction of it that the server starts with.
	SlowStart      time.Duration
	SlowStartFloor float64
	// Seed seeds the random choices; zero means a random seed.
	Seed uint64
}

// Defaults of Options.
const (
	defaultSlowStart      = 30 * time.Second
	defaultSlowStartFloor = 0.25
	// DefaultSubsetSize includes every server of today's estates and limits
	// how many servers one instance polls in a larger estate.
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
