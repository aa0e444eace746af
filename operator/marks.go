package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const (
	// MarkLifetime is how long a drain of one data centre alone holds.
	LocalDrainLifetime = time.Hour
	// maxMarks bounds the marks of an instance.
	maxMarks = 256
)

// Marks holds the drains of this data centre that are not in the platform. It
// is safe for concurrent use.
type LocalDrains struct {
	mu    sync.Mutex
	marks []dump.LocalDrain
	// version counts the changes.
	version uint64
}

// NewMarks returns an empty set.
func NewLocalDrains() *LocalDrains { return &LocalDrains{} }

// Add sets a mark and returns it; it replaces an earlier one of the same
// object. For a command id that is known it returns the mark set before.
func (m *LocalDrains) Add(mark dump.LocalDrain) (dump.LocalDrain, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.marks {
		if known.CommandID == mark.CommandID {
			return known, nil
		}
	}
	others := slices.DeleteFunc(slices.Clone(m.marks), func(known dump.LocalDrain) bool { return known.Drain == mark.Drain })
	if len(others) >= maxMarks {
		return dump.LocalDrain{}, fault.New(fault.NotApplied, "the instance holds too many local marks")
	}
	m.marks = append(others, mark)
	m.version++
	return mark, nil
}

// Remove ends the mark of a command.
func (m *LocalDrains) Remove(commandID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks = slices.DeleteFunc(slices.Clone(m.marks), func(known dump.LocalDrain) bool { return known.CommandID == commandID })
	m.version++
}

// All returns the marks, expired ones included.
func (m *LocalDrains) All() []dump.LocalDrain {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.marks)
}

// Version changes whenever the marks do.
func (m *LocalDrains) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}
