package forward

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
)

// streamVersions holds the records of where each stream began, this instance's and
// those of peers. It is safe for concurrent use.
type streamVersions struct {
	mu    sync.Mutex
	table *streamversion.Table
	// learned is closed and replaced when peers have sent records.
	learned chan struct{}
	// archive is called with each new record.
	archive func(record streamversion.Record)
}

func newStreamVersions(archive func(record streamversion.Record)) *streamVersions {
	return &streamVersions{table: streamversion.NewTable(), learned: make(chan struct{}), archive: archive}
}

// put adds a record of this instance, or keeps a known one for longer.
func (s *streamVersions) put(record streamversion.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Put(time.Now(), record) {
		s.archive(record)
	}
}

// Learn implements peers.StreamVersions.
func (s *streamVersions) Learn(records []streamversion.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		if s.table.Put(now, record) {
			s.archive(record)
		}
	}
	close(s.learned)
	s.learned = make(chan struct{})
}

// Known implements peers.StreamVersions.
func (s *streamVersions) Known(keys []streamversion.Key) []streamversion.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []streamversion.Record
	for _, key := range keys {
		if origin, found := s.table.Origin(key); found {
			known = append(known, streamversion.Record{Key: key, Origin: origin})
		}
	}
	return known
}

// lookUp returns where a stream began, whether that is known, and a channel that is closed when peers
// have sent more records.
func (s *streamVersions) lookUp(key streamversion.Key) (origin streamversion.Origin, known bool, learned <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin, known = s.table.Origin(key)
	return origin, known, s.learned
}

// await waits until it is known where a stream began, or the context ends.
func (s *streamVersions) await(ctx context.Context, key streamversion.Key) (origin streamversion.Origin, known bool) {
	for {
		origin, known, learned := s.lookUp(key)
		if known {
			return origin, true
		}
		select {
		case <-ctx.Done():
			return streamversion.Origin{}, false
		case <-learned:
		}
	}
}
