package configuration

import (
	"cmp"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// copyOf is one revision with the values it was made of. It is not changed
// after it was made.
type copyOf struct {
	revision      uint64
	chunks        []configstore.Chunk
	values        map[string][]byte
	configuration *estate.Configuration
}

// newCopy verifies the chunks and builds the configuration. The values may
// hold more than the chunks need.
func newCopy(revision uint64, chunks []configstore.Chunk, values map[string][]byte) (*copyOf, error) {
	chunks = slices.Clone(chunks)
	slices.SortFunc(chunks, compareChunks)
	configuration, err := configstore.Assemble(configstore.Head{Chunks: chunks}, revision, values)
	if err != nil {
		return nil, err
	}
	made := &copyOf{
		revision:      revision,
		chunks:        chunks,
		values:        make(map[string][]byte, len(chunks)),
		configuration: configuration,
	}
	for _, chunk := range chunks {
		made.values[chunk.Hash] = values[chunk.Hash]
	}
	return made, nil
}

// bytes returns the size of the values.
func (c *copyOf) bytes() int {
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

// sameBucket reports whether two chunks are versions of one another.
func sameBucket(a, b configstore.Chunk) bool { return a.Kind == b.Kind && a.Bucket == b.Bucket }
