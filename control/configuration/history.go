package configuration

import "github.com/wisteriahaven/wisteriahaven/configstore"

// keptRevisions is how many earlier revisions a peer can get the difference
// from.
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
