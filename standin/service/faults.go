package service

// Faults describes the failures that the stand-in produces on request.
type Faults struct {
	// DropAnswers is the number of next calls that run and whose connection is
	// then closed in place of an answer.
	DropAnswers int `json:"drop_answers,omitempty"`
	// CrossAnswers is the number of next calls that run and are answered with
	// the nonce of another request.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// DelayMillis is added to the time of every call.
	DelayMillis int `json:"delay_ms,omitempty"`
	// CrashOnBody makes the server crash when it runs a call with this body.
	CrashOnBody string `json:"die_on_body,omitempty"`
}

// effect holds the faults that apply to one call.
type effect struct {
	drop  bool
	cross bool
	crash bool
}

// take returns the faults that apply to a call with this body and reduces their
// counts.
func (f *Faults) take(body string) effect {
	switch {
	case f.CrashOnBody != "" && body == f.CrashOnBody:
		return effect{crash: true}
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
