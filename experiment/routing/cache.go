package routing

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of the prompt text of one cache block.
const blockBytes = blockTokens * bytesPerToken

// blockHash identifies a block by the hash of the prompt up to the block's end.
type blockHash uint64

// blockHashes returns the hashes of the whole blocks of a prompt.
func blockHashes(prompt string) []blockHash {
	digest := xxhash.New()
	var all []blockHash
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		all = append(all, blockHash(digest.Sum64()))
	}
	return all
}

// cache is an LRU cache of prompt blocks.
type cache struct {
	capacity int
	recency  *list.List
	elements map[blockHash]*list.Element
}

func newCache() *cache {
	return &cache{capacity: cacheTokens / blockTokens, recency: list.New(), elements: make(map[blockHash]*list.Element)}
}

// access returns how many of the leading blocks are cached, and caches all. It touches the first
// block last, as the later ones are of no use without it.
func (c *cache) access(prompt []blockHash) int {
	hits := 0
	for _, hash := range prompt {
		if _, ok := c.elements[hash]; !ok {
			break
		}
		hits++
	}
	for i := len(prompt) - 1; i >= 0; i-- {
		c.touch(prompt[i])
	}
	return hits
}

func (c *cache) touch(hash blockHash) {
	if place, ok := c.elements[hash]; ok {
		c.recency.MoveToFront(place)
		return
	}
	c.elements[hash] = c.recency.PushFront(hash)
	if c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		delete(c.elements, c.recency.Remove(oldest).(blockHash))
	}
}
