package routing

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of the prompt text of one cache block.
const blockBytes = blockTokens * bytesPerToken

// block identifies a block by the hash of the prompt up to the block's end.
type block uint64

// blocks returns the hashes of the whole blocks of a prompt.
func blocks(prompt string) []block {
	digest := xxhash.New()
	var all []block
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		all = append(all, block(digest.Sum64()))
	}
	return all
}

// cache is an LRU cache of prompt blocks.
type cache struct {
	capacity int
	order    *list.List
	places   map[block]*list.Element
}

func newCache() *cache {
	return &cache{capacity: cacheTokens / blockTokens, order: list.New(), places: make(map[block]*list.Element)}
}

// use returns how many of the leading blocks are cached, and caches all. It touches the
// first block last, as the later ones are of no use without it.
func (c *cache) use(prompt []block) int {
	hits := 0
	for _, one := range prompt {
		if _, ok := c.places[one]; !ok {
			break
		}
		hits++
	}
	for i := len(prompt) - 1; i >= 0; i-- {
		c.touch(prompt[i])
	}
	return hits
}

func (c *cache) touch(one block) {
	if place, ok := c.places[one]; ok {
		c.order.MoveToFront(place)
		return
	}
	c.places[one] = c.order.PushFront(one)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.places, c.order.Remove(oldest).(block))
	}
}
