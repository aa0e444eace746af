package retention

import (
	"container/list"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Sizes charged in bytes beside the text itself.
const (
	entryOverhead = 256
	tokenOverhead = 16
)

// Store holds the tokens of broken answers by the fingerprint of their
// request. It is not safe for concurrent use.
type Store struct {
	limit   int
	used    int
	entries map[cursor.Fingerprint]*list.Element
	recent  *list.List
}

// Stats is the state of a store for the dump.
type Stats struct {
	Answers int `json:"answers"`
	Bytes   int `json:"bytes"`
	Limit   int `json:"limit"`
}

// New returns an empty store that holds at most limit bytes.
func New(limit int) *Store {
	return &Store{limit: limit, entries: make(map[cursor.Fingerprint]*list.Element), recent: list.New()}
}

// Keep stores the tokens of an answer from its start, in place of an older
// copy. An answer over the limit is not kept.
func (s *Store) Put(request cursor.Fingerprint, tokens []string) {
	s.Remove(request)
	kept := &entry{request: request, tokens: tokens, size: sizeOf(tokens)}
	if kept.size > s.limit {
		return
	}
	for s.used+kept.size > s.limit {
		s.Remove(s.recent.Back().Value.(*entry).request)
	}
	s.used += kept.size
	s.entries[request] = s.recent.PushFront(kept)
}

// Find returns the first offset tokens of an answer when the kept copy agrees
// with the hash at the offset.
func (s *Store) Find(request cursor.Fingerprint, offset int, hash rollinghash.Hash) ([]string, bool) {
	element, ok := s.entries[request]
	if !ok {
		return nil, false
	}
	tokens := element.Value.(*entry).tokens
	if offset > len(tokens) || rollinghash.Of(tokens[:offset]) != hash {
		return nil, false
	}
	s.recent.MoveToFront(element)
	return tokens[:offset:offset], true
}

// Remove drops an answer.
func (s *Store) Remove(request cursor.Fingerprint) {
	element, ok := s.entries[request]
	if !ok {
		return
	}
	s.used -= element.Value.(*entry).size
	s.recent.Remove(element)
	delete(s.entries, request)
}

// Stats returns the current use.
func (s *Store) Stats() Stats {
	return Stats{Answers: len(s.entries), Bytes: s.used, Limit: s.limit}
}
