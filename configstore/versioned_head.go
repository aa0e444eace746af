package configstore

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// versionedHead is a head as read from the platform; version zero means that
// there is none yet.
type versionedHead struct {
	Head
	version uint64
}

func currentHead(ctx context.Context, store objectstore.Store) (versionedHead, error) {
	object, err := store.Get(ctx, HeadKey)
	if fault.HasCode(err, fault.NotFound) {
		return versionedHead{}, nil
	}
	if err != nil {
		return versionedHead{}, notApplied(err)
	}
	head, err := DecodeHead(object.Value)
	return versionedHead{Head: head, version: object.Version}, err
}

// condition guards the replacement of this head.
func (h versionedHead) condition() objectstore.Condition {
	if h.version == 0 {
		return objectstore.IfAbsent()
	}
	return objectstore.IfVersion(h.version)
}

// appliedAt returns the revision at which a command was applied.
func (h versionedHead) appliedAt(commandID string) (uint64, bool) {
	for _, applied := range h.history() {
		if applied.ID == commandID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// history returns the commands that led to this head, newest first.
func (h versionedHead) history() []AppliedCommand {
	if h.version == 0 {
		return nil
	}
	return append([]AppliedCommand{{Command: h.Command, Revision: h.version}}, h.Recent...)
}

// next returns the head that follows this one.
func (h versionedHead) next(command Command, chunks []Chunk) Head {
	recent := h.history()
	recent = recent[:min(len(recent), recentCommands)]
	for i := describedCommands; i < len(recent); i++ {
		recent[i].Command = recent[i].undescribed()
	}
	return Head{Command: command, Recent: recent, Chunks: chunks}
}
