package operatorapi

// Outcome says what became of a command.
type Outcome string

// The outcomes of a command.
const (
	// Answered is the outcome of a question.
	Answered Outcome = "answered"
	// Applied means that the change is in the configuration.
	Applied Outcome = "applied"
	// Unchanged means that the configuration already said so.
	Unchanged Outcome = "unchanged"
	// Marked means that a drain holds in this data centre alone.
	AppliedLocally Outcome = "marked"
	// Released means that a quarantine was lifted.
	Released Outcome = "released"
	// Conflict means that the configuration changed since it was read; nothing
	// was applied.
	Conflict Outcome = "conflict"
	// Unknown means that the change may have been applied; Settle tells.
	Unknown Outcome = "unknown"
	// NotApplied means that the platform took nothing.
	NotApplied Outcome = "not-applied"
	// Rejected means that the command is wrong or not allowed.
	Rejected Outcome = "rejected"
)
