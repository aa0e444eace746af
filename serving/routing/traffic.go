package routing

import (
	"maps"
	"sync"
)

// Traffic counts the bytes of answers that crossed between regions, for each
// client account. It is safe for concurrent use.
type Traffic struct {
	mu    sync.Mutex
	bytes map[string]uint64
}

func newTraffic() *Traffic { return &Traffic{bytes: make(map[string]uint64)} }

func (t *Traffic) add(account string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[account] += uint64(max(0, bytes))
}

// CrossRegionBytes returns the counted bytes by client account.
func (t *Traffic) CrossRegionBytes() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.bytes)
}
