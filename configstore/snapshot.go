package configstore

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// Snapshot is one revision of the configuration with the commands that led to
// it.
type Snapshot struct {
	// Configuration has revision zero and no content before the first Commit.
	Configuration *estate.Configuration
	// History holds the latest commands, newest first.
	History []AppliedCommand
}

// LoadSnapshot reads the newest revision and its history. Chunks in known,
// keyed by hash, are not read again; afterwards it holds the head's chunks only.
func LoadSnapshot(ctx context.Context, store objectstore.Store, known map[string][]byte) (Snapshot, error) {
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
	configuration, err := LoadHead(ctx, store, object, known)
	if err != nil {
		return Snapshot{}, err
	}
	head.forgetOthers(known)
	current := versionedHead{Head: head, version: object.Version}
	return Snapshot{Configuration: configuration, History: current.history()}, nil
}

// Find returns the applied command with an id.
func (s Snapshot) FindCommand(commandID string) (AppliedCommand, bool) {
	for _, applied := range s.History {
		if applied.ID == commandID {
			return applied, true
		}
	}
	return AppliedCommand{}, false
}

// Covers reports whether the history names every command applied after a
// revision.
func (s Snapshot) HistoryCovers(revision uint64) bool {
	if len(s.History) <= recentCommands {
		return true
	}
	return s.History[len(s.History)-1].Revision <= revision
}

// forgetOthers removes the chunks that the head does not name.
func (h Head) forgetOthers(known map[string][]byte) {
	named := make(map[string]bool, len(h.Chunks))
	for _, chunk := range h.Chunks {
		named[chunk.Hash] = true
	}
	for hash := range known {
		if !named[hash] {
			delete(known, hash)
		}
	}
}
