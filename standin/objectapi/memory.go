package objectapi

import (
	"sort"
	"strings"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// maxKeptChanges bounds the history; a watch from an older version misses changes.
const maxKeptChanges = 4096

// memory holds the objects and their newest changes.
type memory struct {
	mu      sync.Mutex
	version uint64
	objects map[string]objectstore.Object
	changes []objectstore.Change
	changed chan struct{}
}

func newMemory() *memory {
	return &memory{objects: make(map[string]objectstore.Object), changed: make(chan struct{})}
}

func (m *memory) get(key string) (objectstore.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[key]
	return object, found
}

// put writes the value if the condition holds, and returns version and outcome.
func (m *memory) put(key string, value []byte, condition objectstore.Condition) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, exists := m.objects[key]
	if !condition.Holds(exists, current.Version) {
		return current.Version, false
	}
	m.version++
	object := objectstore.Object{Key: key, Value: value, Version: m.version}
	m.objects[key] = object
	m.recordChangeLocked(objectstore.Change{Object: object})
	return m.version, true
}

// remove deletes the object if the condition holds. It reports whether the
// object existed and whether the condition held.
func (m *memory) remove(key string, condition objectstore.Condition) (exists, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, exists := m.objects[key]
	if !exists || !condition.Holds(exists, current.Version) {
		return exists, false
	}
	m.version++
	delete(m.objects, key)
	m.recordChangeLocked(objectstore.Change{Object: objectstore.Object{Key: key, Version: m.version}, Deleted: true})
	return true, true
}

// recordChangeLocked appends a change to the history and wakes the watches.
func (m *memory) recordChangeLocked(change objectstore.Change) {
	m.changes = append(m.changes, change)
	if len(m.changes) > maxKeptChanges {
		m.changes = append([]objectstore.Change(nil), m.changes[len(m.changes)-maxKeptChanges:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) list(prefix string) []objectstore.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []objectstore.Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// since returns the changes under a prefix after a version and a channel that
// closes at the next change.
func (m *memory) since(prefix string, after uint64) ([]objectstore.Change, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []objectstore.Change
	for _, change := range m.changes {
		if change.Version > after && strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found, m.changed
}
