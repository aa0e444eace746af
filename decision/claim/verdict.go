package claim

// Result is the answer to an operation.
type Result uint8

// The results.
const (
	// ResultUnresolved means that the state of the key was not read or written
	// before the deadline. The operation may still take effect.
	ResultUnresolved Result = iota
	// ResultClaimed means that the key belongs to the attempt.
	ResultClaimed
	// ResultRecorded means that the outcome is stored for the key.
	ResultRecorded
	// ResultReleased means that the attempt is permanently void.
	ResultReleased
	// ResultInDoubt means that another attempt holds the key and has no
	// outcome.
	ResultInDoubt
	// ResultOutcome means that another attempt has run; the answer has its
	// outcome.
	ResultOutcome
	// ResultReused means that the key was used with another service, operation
	// or body.
	ResultReused
	// ResultRejected means that the attempt holds the key no longer, or never
	// did, or that a release came too late because its outcome is recorded.
	ResultRejected
)

// resultNames are the texts returned by String.
var resultNames = [...]string{
	"unresolved", "claimed", "recorded", "released", "in-doubt", "outcome", "reused", "rejected",
}

// String returns the name of the result.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown verdict"
}
