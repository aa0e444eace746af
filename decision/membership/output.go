package membership

// Output is a batch of things to do.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Send is one digest to an address.
type Send struct {
	Address string
	Digest  Digest
}

// ChangeKind says what changed in the view.
type ChangeKind uint8

// The kinds of change.
const (
	// ChangeHealth reports a new health, incarnation or leaving state.
	ChangeHealth ChangeKind = iota + 1
	// ChangeRevision reports a higher configuration revision at an instance.
	ChangeRevision
	// ChangeNotice reports a new or withdrawn notice.
	ChangeNotice
	// ChangeReport reports new demand.
	ChangeReport
	// ChangeForgotten reports an instance that was dead for long enough.
	ChangeRemoved
	// ChangeRefuted reports that this instance raised its incarnation.
	ChangeRefuted
	// ChangeResumed reports that this instance was paused.
	ChangeResumed
)

// Change is one change of the view.
type Change struct {
	Kind   ChangeKind
	Record Record
	Notice Notice
}
