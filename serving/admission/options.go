package admission

import (
	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Options are the parameters of a Controller.
type Options struct {
	Instance   string
	DataCentre string
	// Others names the other instances between which the limits are divided
	// when there is no exchange.
	Others []string
	Config admission.Config
	// Recorder records why a share changed; nil records nothing.
	Recorder serving.Recorder
	// Seed seeds the random choices; zero means a random seed.
	Seed uint64
}
