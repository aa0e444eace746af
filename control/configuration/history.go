package configuration

import "github.com/wisteriahaven/wisteriahaven/configstore"

// maxKeptRevisions bounds the number of recent revisions for which a peer can get a difference
// instead of all chunks.
const maxKeptRevisions = 16

// history holds the chunk lists of recent revisions.
type history struct {
	revisions []uint64
	chunks    map[uint64][]configstore.Chunk
}

func (h *history) add(added *Copy) {
	if h.chunks == nil {
		h.chunks = make(map[uint64][]configstore.Chunk)
	}
	h.revisions = append(h.revisions, added.revision)
	h.chunks[added.revision] = added.chunks
	if len(h.revisions) > maxKeptRevisions {
		delete(h.chunks, h.revisions[0])
		h.revisions = h.revisions[1:]
	}
}
