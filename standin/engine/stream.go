package engine

import (
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// stream is one generation held by the engine.
type stream struct {
	id       string
	request  engineapi.CompletionRequest
	answer   Answer
	basis    uint64
	length   int
	arrived  uint64
	readyAt  time.Time
	mu       sync.Mutex
	tokens   []string
	hash     rollinghash.Hash
	computed int
	done     bool
	ended    bool
	readers  map[chan struct{}]struct{}
	idle     time.Time
}

func newStream(id string, request engineapi.CompletionRequest, answer Answer, arrived uint64) *stream {
	return &stream{
		id:      id,
		request: request,
		answer:  answer,
		basis:   answer.basis(),
		length:  answer.Length(),
		arrived: arrived,
		tokens:  append([]string(nil), request.Prefix...),
		hash:    rollinghash.Of(request.Prefix),
		readers: make(map[chan struct{}]struct{}),
		idle:    time.Now(),
	}
}

// produce adds the next token and reports whether the stream is over.
func (s *stream) produce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done && len(s.tokens) < s.length {
		token := NextToken(s.basis, s.hash)
		s.hash = s.hash.Extend(token)
		s.tokens = append(s.tokens, token)
		s.computed++
	}
	if len(s.tokens) >= s.length {
		s.done = true
	}
	s.wakeLocked()
	return s.done
}

// end cancels the stream: its readers get no more tokens and no usage.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.wakeLocked()
}

func (s *stream) wakeLocked() {
	for reader := range s.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

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
	s.idle = time.Now()
}

// read reports whether a connection reads the stream.
func (s *stream) read() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) > 0
}

// snapshot is the state of a stream past an offset.
type snapshot struct {
	tokens   []string
	hash     rollinghash.Hash
	total    int
	computed int
	done     bool
	ended    bool
}

// after returns the tokens from the offset on and the state of the stream.
func (s *stream) after(offset int) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := snapshot{hash: s.hash, total: len(s.tokens), computed: s.computed, done: s.done, ended: s.ended}
	if offset < len(s.tokens) {
		state.tokens = s.tokens[offset:len(s.tokens):len(s.tokens)]
	}
	return state
}

// expired reports whether nobody read the stream for the retention time.
func (s *stream) expired(now time.Time, retention time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) == 0 && now.Sub(s.idle) > retention
}
