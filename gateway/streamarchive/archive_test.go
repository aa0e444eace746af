package streamarchive

import (
	"context"
	"io"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// memoryStore keeps segments by writer and slot.
type memoryStore struct {
	segments map[string]Segment
	writes   int
	reads    int
	down     bool
}

func (s *memoryStore) WriteSegment(_ context.Context, segment Segment) error {
	s.writes++
	if s.down {
		return fault.New(fault.PlatformUnavailable, "down")
	}
	segment.Records = slices.Clone(segment.Records)
	s.segments[segment.Writer+strconv.Itoa(segment.Slot)] = segment
	return nil
}

func (s *memoryStore) Segments(context.Context) ([]Segment, error) {
	s.reads++
	if s.down {
		return nil, fault.New(fault.PlatformUnavailable, "down")
	}
	var all []Segment
	for _, segment := range s.segments {
		all = append(all, segment)
	}
	return all, nil
}

// rig is an archive with its store and what it has learned.
type rig struct {
	*Archive
	store   *memoryStore
	servers *directory.Directory
	learned map[streamversion.Key]string
	// severalLately is set when another version left before the instance started.
	severalLately bool
}

func newRig(store *memoryStore, versions ...string) *rig {
	r := &rig{store: store, servers: directory.New(), learned: make(map[streamversion.Key]string)}
	for n, version := range versions {
		r.servers.Put(&directory.Server{ID: strconv.Itoa(n), Service: "s", Address: strconv.Itoa(n), SoftwareVersion: version, Revision: 1})
	}
	r.Archive = New(Options{
		Instance: "instance", Store: store, Directory: r.servers, Logger: zerolog.New(io.Discard), Writes: func() bool { return true },
		SeveralLately: func() bool { return r.severalLately },
		Learn: func(records []streamversion.Record) {
			for _, record := range records {
				r.learned[record.Key] = record.Version
			}
		},
	})
	return r
}

// run runs the archive for a time and adds a record each 100 ms, with keys from first on.
func (r *rig) run(first, count int) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	for n := range count {
		r.Add(streamversion.Record{Key: streamversion.Key(first + n), Origin: streamversion.Origin{Service: "s", Version: "v1"}})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	cancel()
	<-done
}

func newStore() *memoryStore { return &memoryStore{segments: make(map[string]Segment)} }

func TestNothingIsWrittenWhileAServiceHasASingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(newStore(), "v1", "v1", "")
		r.run(0, 50)
		is.Equal(r.store.writes+r.store.reads, 0)
	})
}

// Guards against LOST: the records of streams that began after another version had left are not written.
func TestRecordsAreWrittenAfterAVersionLeftWhileNoInstanceRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(newStore(), "v2")
		r.severalLately = true
		r.run(0, 20)
		is.True(r.store.writes > 0)
	})
}

// Guards against the loss of records when an instance restarts: it overwrites its newest segment.
func TestRecordsOfTheLastMinuteOutlastRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		const each = 60 // 6 s
		for process := range 4 {
			newRig(store, "v1", "v2").run(process*each, each)
		}
		is.True(len(store.segments) <= slots)
		reader := newRig(store)
		recent, err := reader.Load(context.Background())
		is.NoErr(err)
		is.True(recent)
		is.Equal(len(reader.learned), 4*each)
	})
}

// Guards against a write of tens of kilobytes four times a second.
func TestLargeSegmentIsWrittenOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(newStore(), "v1", "v2")
		for n := range 2000 {
			r.Add(streamversion.Record{Key: streamversion.Key(10_000 + n), Origin: streamversion.Origin{Service: "s", Version: "v1"}})
		}
		r.run(0, 50)
		is.True(r.store.writes <= 7)
		reader := newRig(r.store)
		_, err := reader.Load(context.Background())
		is.NoErr(err)
		is.Equal(len(reader.learned), 2050)
	})
}

// Guards against LOST: streams that began within the last second before the loss of all instances can't be resumed.
func TestRecordIsInTheStoreWithinAQuarterOfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		r := newRig(store, "v1", "v2")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		time.Sleep(10*time.Second + time.Millisecond)
		r.Add(streamversion.Record{Key: 1, Origin: streamversion.Origin{Service: "s", Version: "v1"}})
		time.Sleep(250 * time.Millisecond)
		cancel() // the process ends
		<-done
		reader := newRig(store)
		_, err := reader.Load(context.Background())
		is.NoErr(err)
		is.Equal(len(reader.learned), 1)
	})
}

func TestRecordsAreWrittenFourTimesASecondAndAgainAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(newStore(), "v1", "v2")
		r.run(0, 50)
		is.True(r.store.writes <= 21) // of streams that begin over five seconds
		r.store.down = true
		r.run(100, 30)
		r.store.down = false
		r.run(200, 10)
		reader := newRig(r.store)
		_, err := reader.Load(context.Background())
		is.NoErr(err)
		is.Equal(len(reader.learned), 90)
	})
}

func TestOldSegmentsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		newRig(store, "v1", "v2").run(0, 20)
		time.Sleep(maxAge)
		reader := newRig(store, "v2")
		recent, err := reader.Load(context.Background())
		is.NoErr(err)
		is.True(!recent)
		is.Equal(len(reader.learned), 0)
	})
}

func TestReadsAreSharedAndEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(newStore())
		for range 20 {
			_, err := r.Load(context.Background())
			is.NoErr(err)
		}
		is.Equal(r.store.reads, 1)
		time.Sleep(readSpacing)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := r.Load(ctx)
		is.True(err == nil || fault.HasCode(err, fault.PlatformUnavailable))
		synctest.Wait()
		is.Equal(r.store.reads, 2)
	})
}
