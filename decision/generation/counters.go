package generation

// Counters account for the work of one generation at this instance, in tokens.
type Counters struct {
	// Delivered tokens went to the caller.
	Delivered int
	// Recomputed tokens were produced again by a replay.
	Recomputed int
	// Discarded tokens were new and came from an attempt that was not used,
	// or were delivered before a restart.
	Discarded int
	// Resent tokens were sent again from an engine's memory.
	Resent int
	// Prefilled tokens were processed again as the prefix of a continuation.
	RepeatedPrefill int
	// Attempts counts opened attempts, Protocol those that broke the protocol.
	Attempts           int
	ProtocolViolations int
}
