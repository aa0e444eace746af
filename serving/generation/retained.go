package generation

import (
	"sync"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/retention"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// retained is the store of broken answers, safe for concurrent use.
type retained struct {
	mu    sync.Mutex
	store *retention.Store
}

func (r *retained) keep(request cursor.Fingerprint, tokens []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(request, tokens)
}

func (r *retained) find(request cursor.Fingerprint, offset int, hash rollinghash.Hash) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens, _ := r.store.Find(request, offset, hash)
	return tokens
}

func (r *retained) remove(request cursor.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Remove(request)
}

func (r *retained) stats() retention.Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Stats()
}
