package generation

// AttemptKind is the way in which an attempt obtains its tokens.
type AttemptKind string

// The kinds of attempt.
const (
	// KindFresh starts an answer of which no token was delivered.
	KindFresh AttemptKind = "fresh"
	// KindReattach opens a new connection to an existing engine stream.
	KindReattach AttemptKind = "reattach"
	// KindContinue sends the delivered tokens to another engine as a prefix.
	KindContinue AttemptKind = "continue"
	// KindReplay produces the answer again and compares the delivered part.
	KindReplay AttemptKind = "replay"
)
