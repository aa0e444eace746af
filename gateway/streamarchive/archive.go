package streamarchive

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/contain"
)

const (
	// writeInterval is the time between two writes; each is charged for. The streams that begin meanwhile can't
	// be resumed after the loss of all instances.
	writeInterval = 250 * time.Millisecond
	// largeSegment is the number of records in a segment from which on it is written once in
	// largeWriteInterval, because all of it is written each time.
	largeSegment       = 1024
	largeWriteInterval = time.Second
	// segmentTime is the time over which a segment gathers records, slots the number of segments of
	// a writer. Together they hold the records of streamversion.Lifetime.
	segmentTime = 8 * time.Second
	slots       = 8
	// maxPending is the maximum number of records that wait to be written; the oldest are dropped.
	maxPending = 4096
	// maxAge is the age above which segments are ignored. It allows for clocks that differ.
	maxAge = 2 * streamversion.Lifetime
	// readSpacing is the minimum time between two reads of the store.
	readSpacing = time.Second
)

// Options are the dependencies of an archive.
type Options struct {
	// Instance is the name of this instance.
	Instance  string
	Store     Store
	Directory *directory.Directory
	// SeveralLately reports whether a service had several versions lately, also before this instance started, or a route sent
	// streams to several services.
	SeveralLately func() bool
	// Writes reports whether this instance writes the records of its data centre.
	Writes func() bool
	// Guard contains the panics of reads; nil for none.
	Guard *contain.Guard
	// Learn is called with the records that were read.
	Learn  func(records []streamversion.Record)
	Logger zerolog.Logger
}

// Archive writes records to the store and reads them. It is safe for concurrent use.
type Archive struct {
	options Options
	mu      sync.Mutex
	pending []pendingRecord
	// severalUntil is the time until which records are written.
	severalUntil time.Time
	// slot and begun are the slot of the current segment and when that began; begun is zero before
	// the first. records are those in the segment.
	slot    int
	begun   time.Time
	records []streamversion.Record
	// attemptedAt is the time of the last write, also of a failed one.
	attemptedAt time.Time
	reads       reads
}

type pendingRecord struct {
	record streamversion.Record
	at     time.Time
}

// New returns an archive that neither reads nor writes yet.
func New(options Options) *Archive { return &Archive{options: options} }

// Add queues the record of a stream that began here or at a peer.
func (a *Archive) Add(record streamversion.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) >= maxPending {
		a.pending = slices.Delete(a.pending, 0, maxPending/4)
	}
	a.pending = append(a.pending, pendingRecord{record: record, at: time.Now()})
}

// Run writes records until the context ends.
func (a *Archive) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.write(ctx, now)
		}
	}
}

// write writes the current segment if it has new records.
func (a *Archive) write(ctx context.Context, now time.Time) {
	if a.options.Directory.Snapshot().SeveralVersions {
		a.severalUntil = now.Add(streamversion.Lifetime)
	}
	several := now.Before(a.severalUntil) || a.options.SeveralLately()
	if len(a.records) >= largeSegment && now.Sub(a.attemptedAt) < largeWriteInterval {
		return
	}
	if !several || !a.options.Writes() || !a.openSegment(ctx, now) || !a.gather(now) {
		return
	}
	a.attemptedAt = now
	err := a.options.Store.WriteSegment(ctx, Segment{Writer: a.options.Instance, Slot: a.slot, WrittenAt: now, Records: a.records})
	if err != nil {
		event.Log(a.options.Logger, event.StreamRecordsNotWritten).Int("records", len(a.records)).Err(err).Send()
		a.restore(now)
	}
}

// openSegment begins a segment when there is none or the current one is complete. The first one of a
// process follows the newest one in the store, which holds records of the process before. It
// reports whether there is a segment.
func (a *Archive) openSegment(ctx context.Context, now time.Time) bool {
	if a.begun.IsZero() {
		segments, err := a.read(ctx)
		if err != nil {
			return false
		}
		a.slot, a.begun = nextSlot(a.options.Instance, segments), now
		return true
	}
	if now.Sub(a.begun) >= segmentTime {
		a.slot, a.begun, a.records = (a.slot+1)%slots, now, nil
	}
	return true
}

// nextSlot returns the slot after the newest segment of a writer.
func nextSlot(writer string, segments []Segment) int {
	next, newest := 0, time.Time{}
	for _, segment := range segments {
		if segment.Writer == writer && segment.WrittenAt.After(newest) {
			next, newest = (segment.Slot+1)%slots, segment.WrittenAt
		}
	}
	return next
}

// gather moves the pending records to the current segment, and reports whether there were any.
func (a *Archive) gather(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.records)
	for _, waiting := range a.pending {
		if now.Sub(waiting.at) < streamversion.Lifetime {
			a.records = append(a.records, waiting.record)
		}
	}
	a.pending = nil
	return len(a.records) > before
}

// restore queues the records of a segment that was not written.
func (a *Archive) restore(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	again := make([]pendingRecord, 0, len(a.records)+len(a.pending))
	for _, record := range a.records {
		again = append(again, pendingRecord{record: record, at: now})
	}
	a.pending, a.records = append(again, a.pending...), nil
}
