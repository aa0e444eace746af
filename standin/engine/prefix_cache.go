package engine

import (
	"container/list"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Units of the prefix cache.
const (
	// cacheBlockBytes is the size of the prompt text in one block.
	cacheBlockBytes = 256
	// bytesPerToken converts prompt text to tokens.
	bytesPerToken = 4
)

// prefixCache holds prompt prefixes by block; it evicts the least recently used.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[rollinghash.Hash]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens * bytesPerToken / cacheBlockBytes,
		order:    list.New(),
		blocks:   make(map[rollinghash.Hash]*list.Element),
	}
}

// Use returns how many bytes of the prompt were cached, and caches all its whole
// blocks. Only the blocks before the first uncached one count as cached.
func (c *prefixCache) Use(prompt string) int {
	var hash rollinghash.Hash
	cached, contiguous := 0, true
	for start := 0; start+cacheBlockBytes <= len(prompt); start += cacheBlockBytes {
		hash = hash.Extend(prompt[start : start+cacheBlockBytes])
		element, found := c.blocks[hash]
		if found {
			c.order.MoveToFront(element)
		} else {
			contiguous = false
			c.insert(hash)
		}
		if contiguous {
			cached += cacheBlockBytes
		}
	}
	return cached
}

func (c *prefixCache) insert(hash rollinghash.Hash) {
	c.blocks[hash] = c.order.PushFront(hash)
	for len(c.blocks) > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(rollinghash.Hash))
	}
}

// Tokens returns the number of cached prompt tokens.
func (c *prefixCache) Tokens() int {
	return len(c.blocks) * cacheBlockBytes / bytesPerToken
}
