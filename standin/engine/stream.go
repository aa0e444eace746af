package engine

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// stream is one generation of the engine, with all its tokens so far.
type stream struct {
	id            string
	request       engineapi.CompletionRequest
	answer        Answer
	requestHash   uint64
	length        int
	arrivalNumber uint64
	prefillEnd    time.Time
	mu            sync.Mutex
	tokens        []string
	hash          rollinghash.Hash
	computed      int
	done          bool
	cancelled     bool
	readers       map[chan struct{}]struct{}
	idleSince     time.Time
}

func newStream(id string, request engineapi.CompletionRequest, answer Answer, arrivalNumber uint64) *stream {
	return &stream{
		id:            id,
		request:       request,
		answer:        answer,
		requestHash:   answer.requestHash(),
		length:        answer.Length(),
		arrivalNumber: arrivalNumber,
		tokens:        append([]string(nil), request.Prefix...),
		hash:          rollinghash.Of(request.Prefix),
		readers:       make(map[chan struct{}]struct{}),
		idleSince:     time.Now(),
	}
}

// produce adds the next token and reports whether the answer is complete.
func (s *stream) produce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done && len(s.tokens) < s.length {
		token := NextToken(s.requestHash, s.hash)
		s.hash = s.hash.Extend(token)
		s.tokens = append(s.tokens, token)
		s.computed++
	}
	if len(s.tokens) >= s.length {
		s.done = true
	}
	s.notifyReadersLocked()
	return s.done
}

// cancel ends the stream early: its readers get no more tokens and no usage.
func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	s.notifyReadersLocked()
}

// notifyReadersLocked notifies every reader that has no pending notification.
func (s *stream) notifyReadersLocked() {
	for reader := range s.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// subscribe adds a reader. Its channel receives a notification at once and after
// each change of the stream.
func (s *stream) subscribe() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	reader := make(chan struct{}, 1)
	reader <- struct{}{}
	s.readers[reader] = struct{}{}
	return reader
}

func (s *stream) unsubscribe(reader chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, reader)
	s.idleSince = time.Now()
}

// hasReader reports whether the stream has a reader.
func (s *stream) hasReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) > 0
}

// snapshot is the state of a stream, with the tokens from an offset on.
type snapshot struct {
	tokens    []string
	hash      rollinghash.Hash
	total     int
	computed  int
	done      bool
	cancelled bool
}

// snapshotFrom returns the tokens from the offset on and the state of the stream.
func (s *stream) snapshotFrom(offset int) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := snapshot{hash: s.hash, total: len(s.tokens), computed: s.computed, done: s.done, cancelled: s.cancelled}
	if offset < len(s.tokens) {
		state.tokens = s.tokens[offset:len(s.tokens):len(s.tokens)]
	}
	return state
}

// expired reports whether the stream had no reader for the retention time.
func (s *stream) expired(now time.Time, retention time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) == 0 && now.Sub(s.idleSince) > retention
}
