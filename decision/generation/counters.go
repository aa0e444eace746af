package generation

// Counters hold the work of one generation at this instance, in tokens.
type Counters struct {
	// Delivered tokens were sent to the caller.
	Delivered int
	// Recomputed tokens were produced again by a replay.
	Recomputed int
	// Discarded tokens were new and came from an attempt that was not used,
	// or were delivered before a restart.
	Discarded int
	// Resent tokens were sent again from an engine's memory.
	Resent int
	// RepeatedPrefill tokens were prefilled again as the prefix of a continuation.
	RepeatedPrefill int
	// Attempts counts opened attempts, ProtocolViolations the protocol violations.
	Attempts           int
	ProtocolViolations int
}
