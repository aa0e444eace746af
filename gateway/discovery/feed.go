package discovery

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// Configuration is one version of the configuration with the document that it was
// decoded from, which is passed to peers unchanged.
type Configuration struct {
	Table    *route.Table
	Document []byte
	// KeysRecorded is set when the store has it on record that the deployment's requests need a key.
	KeysRecorded bool
}

// requiringKeys returns a configuration in which requests need a key.
func (c *Configuration) requiringKeys() *Configuration {
	requiring := *c
	requiring.Table = c.Table.RequiringKeys()
	return &requiring
}

// ServerChange is a new, changed or removed entry of a backend server.
type ServerChange struct {
	ID string
	// Server is nil when the entry was removed or is not usable.
	Server   *directory.Server
	Revision revision.Revision
}

// Feed reads the configuration and the backend servers from the object store.
// Errors are *fault.Error. The code PlatformHistoryGone means that the store no longer
// has the changes after the revision, or came back from an older copy of itself since, so that
// everything has to be listed again.
type Feed interface {
	// Configuration returns the newest version, nil when there is none yet,
	// and the store's revision.
	Configuration(ctx context.Context) (*Configuration, revision.Revision, error)
	// WatchConfiguration waits for changes after a revision, and returns the newest
	// version, nil when there was no change, and the store's revision.
	WatchConfiguration(ctx context.Context, after revision.Revision) (*Configuration, revision.Revision, error)
	// RecordKeysRequired records beside the configuration that requests need a key, also by versions without accounts.
	RecordKeysRequired(ctx context.Context) error
	// Servers returns all entries and the store's revision. Both may be some seconds
	// old unless fresh is set.
	Servers(ctx context.Context, fresh bool) ([]ServerChange, revision.Revision, error)
	// WatchServers waits for changes after a revision, and returns them and the
	// store's revision.
	WatchServers(ctx context.Context, after revision.Revision) ([]ServerChange, revision.Revision, error)
	// ServersSince is WatchServers that doesn't wait for a change.
	ServersSince(ctx context.Context, after revision.Revision) ([]ServerChange, revision.Revision, error)
}
