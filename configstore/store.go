package configstore

import (
	"context"
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// maxRecentCommands is the maximum number of earlier commands in a head.
const maxRecentCommands = 256

// Load reads the newest configuration from the object API. Before the first Commit it returns
// NotFound.
func Load(ctx context.Context, store objectstore.Store) (*estate.Configuration, error) {
	object, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, err
	}
	return LoadHead(ctx, store, object, nil)
}

// LoadHead reads the configuration of a head object. cache holds chunk values by hash. Chunks in
// it are not read again, and the other chunks of the head are added to it. It may be nil.
func LoadHead(ctx context.Context, store objectstore.Store, object objectstore.Object, cache map[string][]byte) (*estate.Configuration, error) {
	head, err := DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	if cache == nil {
		cache = make(map[string][]byte)
	}
	for _, chunk := range head.Chunks {
		if _, found := cache[chunk.Hash]; found {
			continue
		}
		body, err := store.Get(ctx, ChunkPrefix+chunk.Hash)
		if err != nil {
			return nil, err
		}
		cache[chunk.Hash] = body.Value
	}
	return Assemble(head, object.Version, cache)
}

// Commit is CommitCommand for a command without a description.
func Commit(ctx context.Context, store objectstore.Store, base, next *estate.Configuration, commandID string) (uint64, error) {
	return CommitCommand(ctx, store, base, next, Command{ID: commandID})
}

// CommitCommand replaces the configuration of revision base.Revision by next and returns the new
// revision. A base with revision zero means that there is no configuration yet. For a command id
// that is already committed it returns the revision of that commit. Errors: CommandConflict when
// another change was committed first, CommandOutcomeUnknown when the answer was lost (repeat with the
// same id), NotApplied when the platform did not accept the write.
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
		return resolveConflict(ctx, store, base.Revision, command.ID)
	case fault.HasCode(err, fault.PlatformAnswerLost):
		return 0, fault.Wrap(fault.CommandOutcomeUnknown, "configstore", "repeat the command with id "+command.ID, err)
	default:
		return 0, notApplied(err)
	}
}

// resolveConflict handles a failed write condition. It returns the revision of this command's
// own earlier write if there was one, otherwise CommandConflict.
func resolveConflict(ctx context.Context, store objectstore.Store, base uint64, commandID string) (uint64, error) {
	head, err := currentHead(ctx, store)
	if err != nil {
		return 0, fault.Wrap(fault.CommandOutcomeUnknown, "configstore", "repeat the command with id "+commandID, err)
	}
	if revision, applied := head.appliedAt(commandID); applied {
		return revision, nil
	}
	return 0, conflict(base, head.version)
}

// writeChunks writes the chunks that the current head does not list and returns all chunks of
// next.
func writeChunks(ctx context.Context, store objectstore.Store, next *estate.Configuration, head versionedHead) ([]Chunk, error) {
	encoded, err := encode(next)
	if err != nil {
		return nil, err
	}
	existing := make(map[string]bool)
	for _, chunk := range head.Chunks {
		existing[chunk.Hash] = true
	}
	chunks := make([]Chunk, 0, len(encoded))
	for _, chunk := range encoded {
		chunks = append(chunks, chunk.Chunk)
		if existing[chunk.Hash] {
			continue
		}
		if _, err := store.Put(ctx, ChunkPrefix+chunk.Hash, chunk.value, objectstore.Always()); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

func notApplied(cause error) error {
	return fault.Wrap(fault.NotApplied, "configstore", "the platform did not accept the change", cause)
}
