package engine

import (
	"container/list"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Sizes of the prefix cache's units.
const (
	// cacheBlockBytes is the prompt text of one block.
	cacheBlockBytes = 256
	// bytesPerToken converts prompt text to tokens.
	bytesPerToken = 4
)

// prefixCache holds prompt prefixes by block, least recently used first out.
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

// Use returns how many bytes of the prompt were cached and caches all of it.
func (c *prefixCache) Use(prompt string) int {
	var hash rollinghash.Hash
	cached, unbroken := 0, true
	for start := 0; start+cacheBlockBytes <= len(prompt); start += cacheBlockBytes {
		hash = hash.Extend(prompt[start : start+cacheBlockBytes])
		element, found := c.blocks[hash]
		if found {
			c.order.MoveToFront(element)
		} else {
			unbroken = false
			c.insert(hash)
		}
		if unbroken {
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
