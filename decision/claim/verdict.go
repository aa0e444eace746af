package claim

// Verdict is the answer to an operation.
type Verdict uint8

// The verdicts.
const (
	// VerdictUnresolved means that the state of the key could not be read or
	// written in time. The operation may still take effect.
	VerdictUnresolved Verdict = iota
	// VerdictClaimed means that the key belongs to the attempt.
	VerdictClaimed
	// VerdictRecorded means that the key has the outcome.
	VerdictRecorded
	// VerdictReleased means that the attempt is void for good.
	VerdictReleased
	// VerdictInDoubt means that another attempt holds the key and has no
	// outcome.
	VerdictInDoubt
	// VerdictOutcome means that another attempt has run; its outcome follows.
	VerdictOutcome
	// VerdictReused means that the key was used with another body.
	VerdictReused
	// VerdictRejected means that the attempt no longer or never held the key.
	VerdictRejected
)

// verdictNames are the names for people.
var verdictNames = [...]string{
	"unresolved", "claimed", "recorded", "released", "in-doubt", "outcome", "reused", "rejected",
}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown verdict"
}
