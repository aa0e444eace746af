package service

// Faults are the failures the stand-in produces on request. Each count applies
// to that many of the next calls.
type Faults struct {
	// DropAnswers runs calls and breaks their connections.
	DropAnswers int `json:"drop_answers,omitempty"`
	// CrossAnswers answers calls with another request's nonce.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"delay_ms,omitempty"`
	// DieOnBody ends the server when it runs a call with this body.
	CrashOnBody string `json:"die_on_body,omitempty"`
}

// effect is what the faults do to one call.
type effect struct {
	drop  bool
	cross bool
	die   bool
}

// take uses the faults up for one call.
func (f *Faults) take(body string) effect {
	switch {
	case f.CrashOnBody != "" && body == f.CrashOnBody:
		return effect{die: true}
	case f.DropAnswers > 0:
		f.DropAnswers--
		return effect{drop: true}
	case f.CrossAnswers > 0:
		f.CrossAnswers--
		return effect{cross: true}
	default:
		return effect{}
	}
}
