package engine

import "strings"

// Faults are the failures an engine produces on request.
type Faults struct {
	// CrashOnPrompt ends the engine when a prompt contains the text.
	CrashOnPrompt string `json:"crash_on_prompt,omitempty"`
	// BreakBeforeDone breaks each connection between the last token and
	// [DONE], this many times.
	BreakBeforeDone int `json:"break_before_done,omitempty"`
	// OffsetShift is added to the first offset of a resumed stream.
	OffsetShift int `json:"offset_shift,omitempty"`
	// RefuseNew answers new streams with 503.
	RefuseNew bool `json:"refuse_new,omitempty"`
	// Leaving is reported in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// ForgetStreams answers every resume with 404.
	ForgetStreams bool `json:"forget_streams,omitempty"`
}

func (f Faults) crashes(prompt string) bool {
	return f.CrashOnPrompt != "" && strings.Contains(prompt, f.CrashOnPrompt)
}
