package objectstore

// Condition is the state of an object that a write requires.
type Condition struct {
	kind    conditionKind
	version uint64
}

type conditionKind uint8

const (
	conditionAlways conditionKind = iota
	conditionAbsent
	conditionVersion
)

// Always returns the condition that every state meets.
func Always() Condition { return Condition{kind: conditionAlways} }

// IfAbsent returns the condition that the object does not exist.
func IfAbsent() Condition { return Condition{kind: conditionAbsent} }

// IfVersion returns the condition that the object exists with the given version.
func IfVersion(version uint64) Condition {
	return Condition{kind: conditionVersion, version: version}
}

// Holds reports whether an object in the given state meets the condition.
func (c Condition) Holds(exists bool, version uint64) bool {
	switch c.kind {
	case conditionAbsent:
		return !exists
	case conditionVersion:
		return exists && c.version == version
	default:
		return true
	}
}

// Query returns the condition as query arguments: absent is true for IfAbsent, version is set
// for IfVersion and otherwise zero.
func (c Condition) Query() (absent bool, version uint64) {
	return c.kind == conditionAbsent, c.version
}
