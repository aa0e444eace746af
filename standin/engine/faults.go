package engine

import "strings"

// Faults describes the failures that an engine produces on request.
type Faults struct {
	// CrashOnPrompt makes the engine crash when a prompt contains the text.
	CrashOnPrompt string `json:"crash_on_prompt,omitempty"`
	// BreakBeforeDone is how many times the engine closes its connections
	// between the last token of a stream and [DONE].
	BreakBeforeDone int `json:"break_before_done,omitempty"`
	// OffsetShift is added to the offsets in the chunks of a resumed stream.
	OffsetShift int `json:"offset_shift,omitempty"`
	// RefuseNew answers new streams with 503.
	RefuseNew bool `json:"refuse_new,omitempty"`
	// Leaving is stated in the load report; new streams get 503.
	Leaving bool `json:"leaving,omitempty"`
	// ForgetStreams answers every resume with 404, as an unknown stream.
	ForgetStreams bool `json:"forget_streams,omitempty"`
}

// crashes reports whether a request with this prompt crashes the engine.
func (f Faults) crashes(prompt string) bool {
	return f.CrashOnPrompt != "" && strings.Contains(prompt, f.CrashOnPrompt)
}
