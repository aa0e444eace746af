package discovery

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// Configuration is one version with the document that it was read from, which
// other instances can take over.
type Configuration struct {
	Table    *route.Table
	Document []byte
}

// ServerChange is a new or removed entry of a backend server.
type ServerChange struct {
	ID string
	// Server is nil when the entry was removed or names no usable server.
	Server   *directory.Server
	Revision uint64
}

// Feed reads the configuration and the backend servers from the object store.
// Errors are *fault.Error; PlatformHistoryGone means that a watch has to start
// again from a list.
type Feed interface {
	// Configuration returns the newest version, nil when there is none yet,
	// and the store's revision.
	Configuration(ctx context.Context) (*Configuration, uint64, error)
	// WatchConfiguration waits for changes after a revision. The result is nil
	// when there were none.
	WatchConfiguration(ctx context.Context, after uint64) (*Configuration, uint64, error)
	// Servers returns all entries and the store's revision; unless it has to be
	// fresh, both may be some seconds old.
	Servers(ctx context.Context, fresh bool) ([]ServerChange, uint64, error)
	// WatchServers waits for changes after a revision.
	WatchServers(ctx context.Context, after uint64) ([]ServerChange, uint64, error)
}
