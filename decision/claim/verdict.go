package claim

// Verdict is the answer to an operation.
type Verdict uint8

// The verdicts.
const (
	// VerdictUnresolved means that the state of the key was not read or written
	// before the deadline. The operation may still take effect.
	VerdictUnresolved Verdict = iota
	// VerdictClaimed means that the key belongs to the attempt.
	VerdictClaimed
	// VerdictRecorded means that the outcome is stored for the key.
	VerdictRecorded
	// VerdictReleased means that the attempt is permanently void.
	VerdictReleased
	// VerdictInDoubt means that another attempt holds the key and has no
	// outcome.
	VerdictInDoubt
	// VerdictOutcome means that another attempt has run; the answer has its
	// outcome.
	VerdictOutcome
	// VerdictReused means that the key was used with another service, operation
	// or body.
	VerdictReused
	// VerdictRejected means that the attempt holds the key no longer, or never
	// did, or that a release came too late because its outcome is recorded.
	VerdictRejected
)

// resultNames are the texts returned by String.
var resultNames = [...]string{
	"unresolved", "claimed", "recorded", "released", "in-doubt", "outcome", "reused", "rejected",
}

// String returns the name of the verdict.
func (r Verdict) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown verdict"
}
