package configstore

import (
	"context"
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// recentCommands is how many applied commands a head remembers.
const recentCommands = 256

// Load reads the configuration in the object API. Before the first Commit it
// returns NotFound.
func Load(ctx context.Context, store objectstore.Store) (*estate.Configuration, error) {
	object, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, err
	}
	return LoadHead(ctx, store, object, nil)
}

// LoadHead reads the configuration of a head. Chunks in known, keyed by hash,
// are not read again; the values of the head's chunks are added to it.
func LoadHead(ctx context.Context, store objectstore.Store, object objectstore.Object, known map[string][]byte) (*estate.Configuration, error) {
	head, err := DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	if known == nil {
		known = make(map[string][]byte)
	}
	for _, chunk := range head.Chunks {
		if _, found := known[chunk.Hash]; found {
			continue
		}
		body, err := store.Get(ctx, ChunkPrefix+chunk.Hash)
		if err != nil {
			return nil, err
		}
		known[chunk.Hash] = body.Value
	}
	return Assemble(head, object.Version, known)
}

// Commit is CommitCommand for a command without a description.
func Commit(ctx context.Context, store objectstore.Store, base, next *estate.Configuration, commandID string) (uint64, error) {
	return CommitCommand(ctx, store, base, next, Command{ID: commandID})
}

// CommitCommand replaces the configuration of revision base.Revision by next,
// under the command's id, and returns the new revision. A base without a revision
// stands for no configuration yet. A command that is already applied returns
// its revision again. Errors: CommandConflict when another change came first,
// CommandUnknown when the answer was lost (repeat with the same id), NotApplied
// when the platform did not take the write.
func CommitCommand(ctx context.Context, store objectstore.Store, base, next *estate.Configuration, command Command) (uint64, error) {
	head, err := currentHead(ctx, store)
	if err != nil {
		return 0, err
	}
	if revision, applied := head.appliedAt(command.ID); applied {
		return revision, nil
	}
	if head.version != base.Revision {
		return 0, conflict(base.Revision, head.version)
	}
	chunks, err := writeChunks(ctx, store, next, head)
	if err != nil {
		return 0, notApplied(err)
	}
	value, err := json.Marshal(head.next(command, chunks))
	if err != nil {
		return 0, fault.Wrap(fault.Internal, "configstore", "encode head", err)
	}
	revision, err := store.Put(ctx, HeadKey, value, head.condition())
	switch {
	case err == nil:
		return revision, nil
	case fault.HasCode(err, fault.PlatformConflict):
		return settleConflict(ctx, store, base.Revision, command.ID)
	case fault.HasCode(err, fault.PlatformAnswerLost):
		return 0, fault.Wrap(fault.CommandOutcomeUnknown, "configstore", "repeat the command with id "+command.ID, err)
	default:
		return 0, notApplied(err)
	}
}

// settleConflict tells a lost race from this command's own earlier write.
func settleConflict(ctx context.Context, store objectstore.Store, base uint64, commandID string) (uint64, error) {
	head, err := currentHead(ctx, store)
	if err != nil {
		return 0, fault.Wrap(fault.CommandOutcomeUnknown, "configstore", "repeat the command with id "+commandID, err)
	}
	if revision, applied := head.appliedAt(commandID); applied {
		return revision, nil
	}
	return 0, conflict(base, head.version)
}

// writeChunks stores the chunks that the current head does not have.
func writeChunks(ctx context.Context, store objectstore.Store, next *estate.Configuration, head versionedHead) ([]Chunk, error) {
	encoded, err := encode(next)
	if err != nil {
		return nil, err
	}
	present := make(map[string]bool)
	for _, chunk := range head.Chunks {
		present[chunk.Hash] = true
	}
	chunks := make([]Chunk, 0, len(encoded))
	for _, chunk := range encoded {
		chunks = append(chunks, chunk.Chunk)
		if present[chunk.Hash] {
			continue
		}
		if _, err := store.Put(ctx, ChunkPrefix+chunk.Hash, chunk.value, objectstore.Always()); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

func notApplied(cause error) error {
	return fault.Wrap(fault.NotApplied, "configstore", "the platform did not take the change", cause)
}
