package retention

import (
	"container/list"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Sizes charged in bytes in addition to the text itself.
const (
	entryOverhead = 256
	tokenOverhead = 16
)

// Store holds the tokens of interrupted answers by the fingerprint of their
// request. It is not safe for concurrent use.
type Store struct {
	maxBytes    int
	usedBytes   int
	entries     map[cursor.Fingerprint]*list.Element
	byRecentUse *list.List
}

// Stats holds the figures of a store for the dump.
type Stats struct {
	Answers int `json:"answers"`
	Bytes   int `json:"bytes"`
	Limit   int `json:"limit"`
}

// New returns an empty store that holds at most limit bytes.
func New(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, entries: make(map[cursor.Fingerprint]*list.Element), byRecentUse: list.New()}
}

// Put stores the tokens of an answer from its start, in place of an older
// copy. An answer larger than the limit is not stored.
func (s *Store) Put(request cursor.Fingerprint, tokens []string) {
	s.Remove(request)
	kept := &entry{request: request, tokens: tokens, chargedBytes: chargedBytes(tokens)}
	if kept.chargedBytes > s.maxBytes {
		return
	}
	for s.usedBytes+kept.chargedBytes > s.maxBytes {
		s.Remove(s.byRecentUse.Back().Value.(*entry).request)
	}
	s.usedBytes += kept.chargedBytes
	s.entries[request] = s.byRecentUse.PushFront(kept)
}

// Find returns the first offset tokens of an answer, and whether one is stored
// whose hash at the offset is the given one.
func (s *Store) Find(request cursor.Fingerprint, offset int, hash rollinghash.Hash) ([]string, bool) {
	element, ok := s.entries[request]
	if !ok {
		return nil, false
	}
	tokens := element.Value.(*entry).tokens
	if offset > len(tokens) || rollinghash.Of(tokens[:offset]) != hash {
		return nil, false
	}
	s.byRecentUse.MoveToFront(element)
	return tokens[:offset:offset], true
}

// Remove deletes an answer.
func (s *Store) Remove(request cursor.Fingerprint) {
	element, ok := s.entries[request]
	if !ok {
		return
	}
	s.usedBytes -= element.Value.(*entry).chargedBytes
	s.byRecentUse.Remove(element)
	delete(s.entries, request)
}

// Stats returns the current figures.
func (s *Store) Stats() Stats {
	return Stats{Answers: len(s.entries), Bytes: s.usedBytes, Limit: s.maxBytes}
}
