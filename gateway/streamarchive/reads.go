package streamarchive

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errReadPanicked is the result of a read that an unexpected error ended.
var errReadPanicked = fault.New(fault.Internal, "an unexpected error ended the read")

// reads shares the results of reading the store between the requests that need them.
type reads struct {
	mu sync.Mutex
	// running is closed when the current read ends; nil while there is none.
	running chan struct{}
	readAt  time.Time
	recent  bool
	err     error
}

// Load reads the records in the store, unless that was done within the last second, and passes them to
// Learn. It reports whether the store holds any of the last minutes, which means that several
// versions served then. Errors are *fault.Error; a read that outlasts ctx goes on.
func (a *Archive) Load(ctx context.Context) (recent bool, err error) {
	select {
	case <-a.startRead():
	case <-ctx.Done():
		return false, fault.Wrap(fault.PlatformUnavailable, "streamarchive", "records not read in time", ctx.Err())
	}
	a.reads.mu.Lock()
	defer a.reads.mu.Unlock()
	return a.reads.recent, a.reads.err
}

// startRead starts reading the store unless that runs or was done lately, and returns a channel that
// is closed when the result is there.
func (a *Archive) startRead() <-chan struct{} {
	a.reads.mu.Lock()
	defer a.reads.mu.Unlock()
	if a.reads.running != nil {
		return a.reads.running
	}
	done := make(chan struct{})
	if !a.reads.readAt.IsZero() && time.Since(a.reads.readAt) < readSpacing {
		close(done)
		return done
	}
	a.reads.running = done
	go func() {
		var segments []Segment
		var err error = errReadPanicked
		a.options.Guard.Run("read", func() { segments, err = a.read(context.Background()) })
		a.reads.mu.Lock()
		defer a.reads.mu.Unlock()
		a.reads.readAt, a.reads.recent, a.reads.err, a.reads.running = time.Now(), len(segments) > 0, err, nil
		close(done)
	}()
	return done
}

// read returns the segments in the store that are not too old, and passes their records to Learn.
func (a *Archive) read(ctx context.Context) ([]Segment, error) {
	segments, err := a.options.Store.Segments(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	recent := segments[:0]
	for _, segment := range segments {
		if age := now.Sub(segment.WrittenAt); age < maxAge && age > -maxAge {
			recent = append(recent, segment)
			a.options.Learn(segment.Records)
		}
	}
	return recent, nil
}
