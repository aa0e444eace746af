package admission

import "github.com/wisteriahaven/wisteriahaven/decision/admission"

// Options tune a Controller.
type Options struct {
	Instance   string
	DataCentre string
	// Others are the other instances, used while there is no exchange.
	Others []string
	Config admission.Config
	// Seed fixes the random choices; zero draws one.
	Seed uint64
}
