package membership

// Output holds the datagrams to send and the changes to report after one step.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Send is one digest and the address to send it to.
type Send struct {
	Address string
	Digest  Digest
}

// ChangeKind is the kind of a change of the view.
type ChangeKind uint8

// The kinds of change.
const (
	// ChangeHealth reports a new health, incarnation or leaving state.
	ChangeHealth ChangeKind = iota + 1
	// ChangeRevision reports a higher configuration revision at an instance.
	ChangeRevision
	// ChangeNotice reports a new, withdrawn or expired notice.
	ChangeNotice
	// ChangeReport reports new demand.
	ChangeReport
	// ChangeRemoved reports that a dead instance was removed after Config.DeadRetention.
	ChangeRemoved
	// ChangeRefuted reports that this instance raised its incarnation.
	ChangeRefuted
	// ChangeResumed reports that this instance was paused.
	ChangeResumed
)

// Change is one change of the view. Record or Notice is set, according to Kind.
type Change struct {
	Kind   ChangeKind
	Record Record
	Notice Notice
}
