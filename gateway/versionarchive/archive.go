package versionarchive

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// observeInterval is the time between two comparisons of the list of servers with the history.
	observeInterval = 200 * time.Millisecond
	// retryInterval is the time between two calls to a store that failed.
	retryInterval = time.Second
	// rewriteInterval is the time after which an unchanged history is written again.
	rewriteInterval = 5 * time.Minute
	// MaxAge is the age above which what a data centre wrote is ignored.
	MaxAge = rewriteInterval + 2*streamversion.Lifetime
)

// Options are the dependencies of an archive.
type Options struct {
	DataCentre string
	Store      Store
	Directory  *directory.Directory
	// Writes reports whether this instance writes the versions of its data centre.
	Writes func() bool
	Logger zerolog.Logger
}

// Archive holds the history of an instance. It is safe for concurrent use.
type Archive struct {
	options Options
	mu      sync.Mutex
	history *streamversion.History
	// loaded is set when the store was read.
	loaded bool
	// written are the versions that this instance wrote at writtenAt; callsAfter is the earliest time of
	// the next call to the store.
	written    []streamversion.Served
	writtenAt  time.Time
	callsAfter time.Time
}

// New returns an archive that neither reads nor writes yet.
func New(options Options) *Archive {
	return &Archive{options: options, history: streamversion.NewHistory()}
}

// Run reads the store, and then observes the list of servers and writes changes until the context ends.
func (a *Archive) Run(ctx context.Context) {
	for !a.load(ctx) {
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
	for pause.For(ctx, observeInterval) {
		a.observe(time.Now())
		a.write(ctx, time.Now())
	}
}

// load adds the versions in the store to the history, and reports whether they could be read.
func (a *Archive) load(ctx context.Context) bool {
	served, err := a.options.Store.Versions(ctx)
	if err != nil {
		event.Log(a.options.Logger, event.ServedVersionsNotRead).Err(err).Send()
		return false
	}
	a.mu.Lock()
	a.history.Merge(served)
	a.mu.Unlock()
	a.observe(time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loaded = true
	return true
}

// observe compares the history with the list of servers. An empty list is that of an instance that does
// not know the servers yet.
func (a *Archive) observe(now time.Time) {
	snapshot := a.options.Directory.Snapshot()
	if len(snapshot.All) == 0 {
		return
	}
	var listed []streamversion.Origin
	for _, server := range snapshot.All {
		origin := streamversion.Origin{Service: server.Service, Version: server.SoftwareVersion}
		if origin.Version != "" && !slices.Contains(listed, origin) {
			listed = append(listed, origin)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history.Observe(now, listed)
}

// write writes the history if a version has come or left since it was written.
func (a *Archive) write(ctx context.Context, now time.Time) {
	a.mu.Lock()
	served := a.history.Served()
	a.mu.Unlock()
	due := changed(a.written, served) || (len(served) > 0 && now.Sub(a.writtenAt) >= rewriteInterval)
	if !due || now.Before(a.callsAfter) || !a.options.Writes() {
		return
	}
	if err := a.options.Store.WriteVersions(ctx, a.options.DataCentre, served); err != nil {
		event.Log(a.options.Logger, event.ServedVersionsNotWritten).Int("versions", len(served)).Err(err).Send()
		a.callsAfter = now.Add(retryInterval)
		return
	}
	a.written, a.writtenAt = served, now
}

// changed reports whether a version has come or left since a history was written. Those that left so long
// ago that they were dropped are no change: their age shows in what was written.
func changed(written, served []streamversion.Served) bool {
	return slices.ContainsFunc(served, func(s streamversion.Served) bool { return !slices.Contains(written, s) })
}

// HasOther reports whether a service has, or had lately, another version than the given one, and whether
// that is known for the time before this instance started.
func (a *Archive) HasOther(than streamversion.Origin) (other, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.HasOther(than), a.loaded
}

// HasLeft reports whether a version of a service has left lately.
func (a *Archive) HasLeft(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.HasLeft(service)
}

// HasSeveral reports whether any service has, or had lately, several versions.
func (a *Archive) HasSeveral() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.HasSeveral()
}
