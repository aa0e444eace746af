package generation

// AttemptKind says how an attempt begins.
type AttemptKind string

// The kinds of attempt.
const (
	// KindFresh starts an answer of which nothing was delivered.
	KindFresh AttemptKind = "fresh"
	// KindReattach reads an existing engine stream again.
	KindReattach AttemptKind = "reattach"
	// KindContinue gives the delivered tokens to another engine.
	KindContinue AttemptKind = "continue"
	// KindReplay produces the answer again and compares the delivered part.
	KindReplay AttemptKind = "replay"
)
