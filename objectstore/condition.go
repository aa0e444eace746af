package objectstore

// Condition guards a write.
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

// Always lets the write through unconditionally.
func Always() Condition { return Condition{kind: conditionAlways} }

// IfAbsent lets the write through when the object does not exist.
func IfAbsent() Condition { return Condition{kind: conditionAbsent} }

// IfVersion lets the write through when the object has the version.
func IfVersion(version uint64) Condition {
	return Condition{kind: conditionVersion, version: version}
}

// Holds reports whether the condition allows a write over the given state.
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

// Query returns the condition's form in a request: "", "absent" or a version.
func (c Condition) Query() (absent bool, version uint64) {
	return c.kind == conditionAbsent, c.version
}
