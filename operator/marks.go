package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const (
	// LocalDrainLifetime is the time until a local drain expires.
	LocalDrainLifetime = time.Hour
	// maxLocalDrains bounds the number of local drains of an instance.
	maxLocalDrains = 256
)

// LocalDrains holds the local drains of this data centre, which are not in the
// platform. It is safe for concurrent use.
type LocalDrains struct {
	mu     sync.Mutex
	drains []dump.LocalDrain
	// version counts the changes of the set.
	version uint64
}

// NewLocalDrains returns an empty set of local drains.
func NewLocalDrains() *LocalDrains { return &LocalDrains{} }

// Add adds a local drain and returns it; it replaces an earlier one of the same
// object. If the set holds one of the same command id, Add returns that one
// unchanged. The error is NotApplied when the set is full.
func (m *LocalDrains) Add(localDrain dump.LocalDrain) (dump.LocalDrain, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, existing := range m.drains {
		if existing.CommandID == localDrain.CommandID {
			return existing, nil
		}
	}
	others := slices.DeleteFunc(slices.Clone(m.drains), func(existing dump.LocalDrain) bool { return existing.Drain == localDrain.Drain })
	if len(others) >= maxLocalDrains {
		return dump.LocalDrain{}, fault.New(fault.NotApplied, "the instance holds too many local drains")
	}
	m.drains = append(others, localDrain)
	m.version++
	return localDrain, nil
}

// Remove removes the local drain of a command.
func (m *LocalDrains) Remove(commandID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drains = slices.DeleteFunc(slices.Clone(m.drains), func(existing dump.LocalDrain) bool { return existing.CommandID == commandID })
	m.version++
}

// All returns the local drains, including expired ones.
func (m *LocalDrains) All() []dump.LocalDrain {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.drains)
}

// Version returns a number that changes whenever the set does.
func (m *LocalDrains) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}
