package claim

// Verdict is the answer to an operation.
type Result uint8

// The verdicts.
const (
	// VerdictUnresolved means that the state of the key could not be read or
	// written in time. The operation may still take effect.
	ResultUnresolved Result = iota
	// VerdictClaimed means that the key belongs to the attempt.
	ResultClaimed
	// VerdictRecorded means that the key has the outcome.
	ResultRecorded
	// VerdictReleased means that the attempt is void for good.
	ResultReleased
	// VerdictInDoubt means that another attempt holds the key and has no
	// outcome.
	ResultInDoubt
	// VerdictOutcome means that another attempt has run; its outcome follows.
	ResultOutcome
	// VerdictReused means that the key was used with another body.
	ResultReused
	// VerdictRejected means that the attempt no longer or never held the key.
	ResultRejected
)

// verdictNames are the names for people.
var verdictNames = [...]string{
	"unresolved", "claimed", "recorded", "released", "in-doubt", "outcome", "reused", "rejected",
}

// String returns the name of the verdict.
func (v Result) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown verdict"
}
