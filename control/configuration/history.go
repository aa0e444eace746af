package configuration

import "github.com/wisteriahaven/wisteriahaven/configstore"

// keptRevisions bounds the number of recent revisions for which a peer can get a difference
// instead of all chunks.
const keptRevisions = 16

// history holds the chunk lists of recent revisions.
type history struct {
	revisions []uint64
	chunks    map[uint64][]configstore.Chunk
}

func (h *history) add(held *Copy) {
	if h.chunks == nil {
		h.chunks = make(map[uint64][]configstore.Chunk)
	}
	h.revisions = append(h.revisions, held.revision)
	h.chunks[held.revision] = held.chunks
	if len(h.revisions) > keptRevisions {
		delete(h.chunks, h.revisions[0])
		h.revisions = h.revisions[1:]
	}
}
