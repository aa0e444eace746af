package configuration

import (
	"cmp"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Copy is an immutable revision of the configuration with the chunks it was built from.
type Copy struct {
	revision      uint64
	chunks        []configstore.Chunk
	values        map[string][]byte
	configuration *estate.Configuration
}

// NewCopy verifies the chunks against their hashes and builds the configuration. values is keyed
// by hash and may contain values that no chunk refers to.
func NewCopy(revision uint64, chunks []configstore.Chunk, values map[string][]byte) (*Copy, error) {
	chunks = slices.Clone(chunks)
	slices.SortFunc(chunks, compareChunks)
	configuration, err := configstore.Assemble(configstore.Head{Chunks: chunks}, revision, values)
	if err != nil {
		return nil, err
	}
	result := &Copy{
		revision:      revision,
		chunks:        chunks,
		values:        make(map[string][]byte, len(chunks)),
		configuration: configuration,
	}
	for _, chunk := range chunks {
		result.values[chunk.Hash] = values[chunk.Hash]
	}
	return result, nil
}

// Chunks returns the chunks in the order of kind and bucket.
func (c *Copy) Chunks() []configstore.Chunk { return c.chunks }

// Configuration returns the configuration. The caller must not change it.
func (c *Copy) Configuration() *estate.Configuration { return c.configuration }

// bytes returns the total size of the chunk values.
func (c *Copy) bytes() int {
	total := 0
	for _, value := range c.values {
		total += len(value)
	}
	return total
}

func compareChunks(a, b configstore.Chunk) int {
	if order := cmp.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return cmp.Compare(a.Bucket, b.Bucket)
}

// sameBucket reports whether two chunks are versions of the same part of the configuration.
func sameBucket(a, b configstore.Chunk) bool { return a.Kind == b.Kind && a.Bucket == b.Bucket }
