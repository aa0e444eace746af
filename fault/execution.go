package fault

// Execution states what is known about the execution of a failed call.
type Execution string

// The execution states of a failed call.
const (
	// ExecutionNotRun guarantees that nothing was ever sent for this key.
	ExecutionNotRun Execution = "not-run"
	// ExecutionUnknown means that the call was sent and its outcome is not known.
	ExecutionUnknown Execution = "unknown"
	// ExecutionRefusedHere means that this submission was not sent and that the
	// state of earlier submissions of the same key could not be read.
	ExecutionRefusedHere Execution = "refused-here"
	// ExecutionPartial means that part of an answer was delivered.
	ExecutionPartial Execution = "partial"
)
