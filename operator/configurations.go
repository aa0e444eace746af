package operator

import (
	"context"
	"maps"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// StoredConfigurations implements Configurations with the platform's object
// store. It is safe for concurrent use.
type StoredConfigurations struct {
	store objectstore.Store
	mu    sync.Mutex
	// chunks caches the values of the chunks of the last loaded head, by hash.
	chunks map[string][]byte
}

// NewStoredConfigurations returns the configurations stored in an object store.
func NewStoredConfigurations(store objectstore.Store) *StoredConfigurations {
	return &StoredConfigurations{store: store, chunks: make(map[string][]byte)}
}

// Load implements Configurations.
func (c *StoredConfigurations) Load(ctx context.Context) (configstore.Snapshot, error) {
	c.mu.Lock()
	chunks := maps.Clone(c.chunks)
	c.mu.Unlock()
	snapshot, err := configstore.LoadSnapshot(ctx, c.store, chunks)
	c.mu.Lock()
	c.chunks = chunks // also after a failure: the next load reads only the missing chunks
	c.mu.Unlock()
	return snapshot, err
}

// Commit implements Configurations.
func (c *StoredConfigurations) Commit(ctx context.Context, base, next *estate.Configuration, command configstore.Command) (uint64, error) {
	return configstore.CommitCommand(ctx, c.store, base, next, command)
}
