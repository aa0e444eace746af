package operator

import (
	"context"
	"maps"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// StoredConfigurations implements Configurations on the platform's object API.
// It is safe for concurrent use.
type StoredConfigurations struct {
	store objectstore.Store
	mu    sync.Mutex
	// chunks holds the values of the last head's chunks, by hash.
	chunks map[string][]byte
}

// NewStoredConfigurations returns the configurations in a store.
func NewStoredConfigurations(store objectstore.Store) *StoredConfigurations {
	return &StoredConfigurations{store: store, chunks: make(map[string][]byte)}
}

// Load implements Configurations.
func (c *StoredConfigurations) Load(ctx context.Context) (configstore.Snapshot, error) {
	c.mu.Lock()
	known := maps.Clone(c.chunks)
	c.mu.Unlock()
	snapshot, err := configstore.LoadSnapshot(ctx, c.store, known)
	c.mu.Lock()
	c.chunks = known // also after a failure: the next try reads on
	c.mu.Unlock()
	return snapshot, err
}

// Commit implements Configurations.
func (c *StoredConfigurations) Commit(ctx context.Context, base, next *estate.Configuration, command configstore.Command) (uint64, error) {
	return configstore.CommitCommand(ctx, c.store, base, next, command)
}
