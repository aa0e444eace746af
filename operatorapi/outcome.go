package operatorapi

// Outcome is the result of a command.
type Outcome string

// The outcomes of a command.
const (
	// Answered is the outcome of a query.
	Answered Outcome = "answered"
	// Applied means that the change is in the configuration.
	Applied Outcome = "applied"
	// Unchanged means that the configuration already contained the change.
	Unchanged Outcome = "unchanged"
	// AppliedLocally means that a local drain is set or lifted in this data centre.
	AppliedLocally Outcome = "marked"
	// Released means that a quarantine was lifted.
	Released Outcome = "released"
	// Conflict means that the configuration changed since it was read; nothing
	// was applied.
	Conflict Outcome = "conflict"
	// Unknown means that the change may have been applied; see Response.RepeatCommand.
	Unknown Outcome = "unknown"
	// NotApplied means that the change was not applied, because the platform
	// is unavailable or a limit is reached.
	NotApplied Outcome = "not-applied"
	// Rejected means that the command is invalid, not allowed, or failed.
	Rejected Outcome = "rejected"
)
