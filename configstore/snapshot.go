package configstore

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// Snapshot is one revision of the configuration with the latest commands up to it.
type Snapshot struct {
	// Configuration has revision zero and no content before the first Commit.
	Configuration *estate.Configuration
	// History holds the latest committed commands, newest first.
	History []AppliedCommand
}

// LoadSnapshot reads the newest revision and its history. cache holds chunk values by hash.
// Chunks in it are not read again, and afterwards it holds exactly the chunks of the head. It
// may be nil.
func LoadSnapshot(ctx context.Context, store objectstore.Store, cache map[string][]byte) (Snapshot, error) {
	object, err := store.Get(ctx, HeadKey)
	if fault.HasCode(err, fault.NotFound) {
		return Snapshot{Configuration: &estate.Configuration{}}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return Snapshot{}, err
	}
	configuration, err := LoadHead(ctx, store, object, cache)
	if err != nil {
		return Snapshot{}, err
	}
	head.pruneCache(cache)
	current := versionedHead{Head: head, version: object.Version}
	return Snapshot{Configuration: configuration, History: current.history()}, nil
}

// FindCommand returns the committed command with the given id.
func (s Snapshot) FindCommand(commandID string) (AppliedCommand, bool) {
	for _, applied := range s.History {
		if applied.ID == commandID {
			return applied, true
		}
	}
	return AppliedCommand{}, false
}

// HistoryCovers reports whether the history holds every command committed after the given
// revision.
func (s Snapshot) HistoryCovers(revision uint64) bool {
	if len(s.History) <= maxRecentCommands {
		return true
	}
	return s.History[len(s.History)-1].Revision <= revision
}

// pruneCache deletes the chunks that the head does not list from cache.
func (h Head) pruneCache(cache map[string][]byte) {
	named := make(map[string]bool, len(h.Chunks))
	for _, chunk := range h.Chunks {
		named[chunk.Hash] = true
	}
	for hash := range cache {
		if !named[hash] {
			delete(cache, hash)
		}
	}
}
