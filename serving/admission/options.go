package admission

import (
	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Options tune a Controller.
type Options struct {
	Instance   string
	DataCentre string
	// Others are the other instances, used while there is no exchange.
	Others []string
	Config admission.Config
	// Recorder keeps why a share grew or shrank; nil keeps nothing.
	Recorder serving.Recorder
	// Seed fixes the random choices; zero draws one.
	Seed uint64
}
