package quarantinearchive

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// checkInterval is the time between two comparisons of what is known with what was written, and
	// between two calls to a store that doesn't answer.
	checkInterval = 200 * time.Millisecond
	retryInterval = time.Second
	// rewriteInterval is the time after which quarantines are written again: the store may have come
	// back from an older copy without them.
	rewriteInterval = 30 * time.Second
	// maxWritten is the maximum number of quarantines in an object; the newest are written.
	maxWritten = 1024
)

// Options are the dependencies of an archive.
type Options struct {
	DataCentre string
	Store      Store
	// Known returns the quarantines that this instance knows, oldest first.
	Known func() []poison.Quarantine
	// Learn is called with those in the store.
	Learn func(quarantines []poison.Quarantine)
	// Writes reports whether this instance writes those of its data centre.
	Writes func() bool
	Logger zerolog.Logger
}

// Archive reads and writes quarantines. Run uses it from one goroutine; Asked is safe for concurrent use.
type Archive struct {
	options   Options
	written   []poison.Quarantine
	writtenAt time.Time
	// asked is set when the store has answered or failed once.
	asked atomic.Bool
}

// New returns an archive that neither reads nor writes yet.
func New(options Options) *Archive { return &Archive{options: options} }

// Run reads the store, and then writes changes until the context ends. Nothing is written before the store
// was read, so that an instance that has just started doesn't replace what others knew.
func (a *Archive) Run(ctx context.Context) {
	for !a.load(ctx) {
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
	for pause.For(ctx, checkInterval) {
		if !a.write(ctx, time.Now()) && !pause.For(ctx, retryInterval) {
			return
		}
	}
}

// Asked reports whether the store has answered or failed once since the start.
func (a *Archive) Asked() bool { return a.asked.Load() }

// load passes the quarantines in the store to Learn, and reports whether they could be read.
func (a *Archive) load(ctx context.Context) bool {
	defer a.asked.Store(true)
	quarantines, _, err := a.options.Store.Quarantines(ctx)
	if err != nil {
		event.Log(a.options.Logger, event.QuarantinesNotRead).Err(err).Send()
		return false
	}
	if len(quarantines) > 0 {
		a.options.Learn(quarantines)
	}
	return true
}

// write writes the known quarantines if they have changed or are due again. It reports whether nothing failed.
func (a *Archive) write(ctx context.Context, now time.Time) bool {
	known := a.options.Known()
	known = known[max(0, len(known)-maxWritten):]
	due := len(known) > 0 && now.Sub(a.writtenAt) >= rewriteInterval
	if (!due && slices.EqualFunc(known, a.written, poison.Quarantine.Equal)) || !a.options.Writes() {
		return true
	}
	if err := a.options.Store.WriteQuarantines(ctx, a.options.DataCentre, known); err != nil {
		event.Log(a.options.Logger, event.QuarantinesNotWritten).Int("quarantines", len(known)).Err(err).Send()
		return false
	}
	a.written, a.writtenAt = known, now
	return true
}
