package configspread

// ActionKind says what to do.
type ActionKind uint8

// The kinds of action.
const (
	// ActionWatch waits at the platform for a head newer than Revision.
	ActionWatch ActionKind = iota + 1
	// ActionStopWatch ends the waiting watch.
	ActionStopWatch
	// ActionFetch reads the configuration from Source, the platform if empty.
	ActionFetch
	// ActionApply puts the fetched Revision in force.
	ActionApply
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	Revision uint64
	Source   string
}
