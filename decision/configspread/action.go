package configspread

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of action.
const (
	// ActionWatch starts a watch at the platform that waits for a head newer than Revision.
	ActionWatch ActionKind = iota + 1
	// ActionStopWatch cancels the waiting watch.
	ActionStopWatch
	// ActionFetch reads what is newer than Revision from the peer Source, or from
	// the platform if Source is empty.
	ActionFetch
	// ActionApply puts the fetched Revision in force at this instance.
	ActionApply
)

// Action is one operation that the caller of Machine.Step carries out.
type Action struct {
	Kind     ActionKind
	Revision uint64
	Source   string
}
