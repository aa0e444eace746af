package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// minRetryWait and maxRetryWait are the first and the longest wait before a failed call is
	// repeated, both before jitter. Each call is charged for, and a change has to be in force
	// within three seconds after the store is reachable again.
	minRetryWait = 150 * time.Millisecond
	maxRetryWait = 1200 * time.Millisecond
	// serverWatchPause is the time between two watch calls for backend servers, so that
	// changes that arrive together cost one call. backupWatchPause replaces it on a backup,
	// which receives most changes from the first relay.
	serverWatchPause = 500 * time.Millisecond
	backupWatchPause = 1500 * time.Millisecond
	// firstListPause is the pause after the first list of a process. Meanwhile it receives
	// digests from peers and can decide whether it has to follow the store at all.
	firstListPause = 700 * time.Millisecond
	// configurationWatchPause is the time between two watch calls for the configuration,
	// which changes rarely.
	configurationWatchPause = 100 * time.Millisecond
	// substituteRetryWait is the wait before a substitute for a relay repeats a failed call.
	substituteRetryWait = 3 * time.Second
	// roleCheckPeriod is the time between two checks whether this instance has to follow the
	// store.
	roleCheckPeriod = 200 * time.Millisecond
	// missingEntryGrace is how long an entry may be missing after the store was unavailable:
	// running servers write theirs again within two seconds.
	missingEntryGrace = 2300 * time.Millisecond
)

// Follower keeps a State and a directory up to date from the object store.
type Follower struct {
	feed      Feed
	state     *State
	directory *directory.Directory
	logger    zerolog.Logger
	// role returns the current role of this instance. onSuccess is called after each
	// successful call to the store.
	role      func() RelayRole
	onSuccess func()
	mu        sync.Mutex
	// failing holds the watches whose last call failed, following those that run.
	failing   map[string]bool
	following map[string]bool
	// answeredAt holds when the store last answered each watch, or when the watch began.
	answeredAt map[string]time.Time
	// availableSince is when a call last succeeded after failed ones. peersAvailableSince is the same by what peers state, and
	// peersUnavailable is set while they state that the store doesn't answer.
	availableSince      time.Time
	peersAvailableSince time.Time
	peersUnavailable    bool
	// era is the era of the last list of backend servers. eraSince is when it was first seen after an earlier one, zero if none
	// is known.
	era      uint64
	eraSince time.Time
	// keysRecorded is set while the store has it on record that requests need a key.
	keysRecorded atomic.Bool
	// catchUps are the calls of CatchUp.
	catchUps catchUps
	// missing holds, by server ID, the entries that may be written again before the
	// server is removed.
	missing map[string]missingEntry
}

// missingEntry is an entry that is missing after the store was unavailable. The server is
// removed at removeAt, with the revision at which the entry was found missing.
type missingEntry struct {
	removeAt time.Time
	revision revision.Revision
	// unlisted is set when it is a peer's list that lacks the entry.
	unlisted *directory.Server
}

// NewFollower returns a follower that updates a state and a directory. It follows the store
// unless role returns Passive, and calls onSuccess after each successful call to the store.
func NewFollower(feed Feed, state *State, servers *directory.Directory, role func() RelayRole, onSuccess func(), logger zerolog.Logger) *Follower {
	return &Follower{
		feed: feed, state: state, directory: servers, role: role, onSuccess: onSuccess, logger: logger,
		failing: make(map[string]bool), following: make(map[string]bool), answeredAt: make(map[string]time.Time), missing: make(map[string]missingEntry),
		catchUps: catchUps{turn: make(chan struct{}, 1)},
	}
}

// Names of the watches.
const (
	watchConfiguration = "configuration"
	watchServers       = "servers"
)

// Following reports whether this instance follows the store and the last call of each
// watch succeeded.
func (f *Follower) Following() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.anyFailing() && len(f.following) == len(Watches)
}

// RunConfiguration keeps the in-force configuration up to date until the context ends.
func (f *Follower) RunConfiguration(ctx context.Context) {
	pauses := watchPauses{primary: configurationWatchPause, backup: configurationWatchPause}
	f.run(ctx, watchConfiguration, pauses, func(ctx context.Context, after revision.Revision, listed bool) (revision.Revision, error) {
		var newest *Configuration
		var asOf revision.Revision
		var err error
		if listed {
			newest, asOf, err = f.feed.WatchConfiguration(ctx, after)
		} else {
			newest, asOf, err = f.feed.Configuration(ctx)
		}
		if err != nil {
			return 0, err
		}
		if newest != nil {
			f.keysRecorded.Store(newest.KeysRecorded)
			if newest.KeysRecorded {
				f.state.RequireKeys()
			}
		}
		if f.state.Offer(newest) {
			event.Log(f.logger, event.ConfigurationInForce).Uint64("version", newest.Table.Version).
				Int("routes", newest.Table.Routes()).Bool("keys_required", f.state.KeysRequired()).Stringer("revision", asOf).Str("source", "store").Send()
		}
		return asOf, nil
	})
}

// RunServers keeps the directory up to date until the context ends.
func (f *Follower) RunServers(ctx context.Context) {
	// The first list may be seconds old, which costs less: the watch continues from
	// its revision. If the store has no history from there, a fresh list is read.
	fresh := false
	// answered is when the store last answered: changes that it returns next were not written before.
	var answered time.Time
	pauses := watchPauses{primary: serverWatchPause, backup: backupWatchPause}
	f.run(ctx, watchServers, pauses, func(ctx context.Context, after revision.Revision, listed bool) (revision.Revision, error) {
		if listed {
			changes, asOf, err := f.feed.WatchServers(ctx, after)
			if err != nil {
				return 0, err
			}
			f.applyChanges(changes, asOf, answered)
			answered = time.Now()
			return asOf, nil
		}
		servers, asOf, err := f.feed.Servers(ctx, fresh)
		if err != nil {
			fresh = fresh || fault.HasCode(err, fault.StoreEraInvalid)
			return 0, err
		}
		fresh = true
		f.applyList(servers, asOf, answered)
		answered = time.Now()
		return asOf, nil
	})
}

// watchPauses holds the time between two calls of the first relay and of a backup.
type watchPauses struct {
	primary, backup time.Duration
}

// run lists once and then watches. A failed call is repeated after a growing wait; when
// the store no longer has the history for the watch, run lists again.
func (f *Follower) run(ctx context.Context, watch string, pauses watchPauses, read func(context.Context, revision.Revision, bool) (revision.Revision, error)) {
	var position revision.Revision
	listed, firstListRead, wait := false, false, minRetryWait
	for ctx.Err() == nil {
		role := f.role()
		pauseTime := pauses.primary
		if role == Backup {
			pauseTime = pauses.backup
		}
		if role == Passive {
			// Changes are missed meanwhile, so the next call has to list again.
			listed = false
			f.setFollowing(watch, false)
			pause.For(ctx, roleCheckPeriod)
			continue
		}
		begun := time.Now()
		f.recordFollowing(watch, begun)
		next, err := read(ctx, position, listed)
		switch {
		case err == nil:
			f.recordCall(watch, 0, nil)
			f.setFollowing(watch, true)
			f.onSuccess()
			position, listed, wait = next, true, minRetryWait
			if !firstListRead {
				firstListRead, pauseTime = true, firstListPause
			}
			pause.For(ctx, pauseTime)
		case fault.HasCode(err, fault.PlatformHistoryGone):
			event.Log(f.logger, event.StoreHistoryGone).Str("what", watch).Stringer("revision", position).Err(err).Send()
			listed = false
			pause.For(ctx, pauseTime)
		default:
			f.recordCall(watch, time.Since(begun), err)
			if role == Substitute {
				wait = substituteRetryWait
			}
			pause.For(ctx, wait/2+time.Duration(rand.Int64N(int64(wait/2))))
			wait = min(2*wait, maxRetryWait)
		}
	}
}

// setFollowing records whether a watch runs, and clears the failure of one that doesn't.
func (f *Follower) setFollowing(watch string, following bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if following {
		f.following[watch] = true
	} else {
		delete(f.following, watch)
		delete(f.failing, watch)
		delete(f.answeredAt, watch)
	}
}

// errWatchStuck means that peers have changes that this instance's watch did not deliver.
var errWatchStuck = fault.New(fault.PlatformUnavailable, "other instances have newer entries than the watch delivered")

// MarkWatchStuck marks the watch of the backend servers as failing: until its next successful
// call, this instance does not count as following the store.
func (f *Follower) MarkWatchStuck() { f.recordCall(watchServers, 0, errWatchStuck) }

// recordCall records the result of a call that took a time, and logs the first failed one and the first
// successful one after it.
func (f *Follower) recordCall(watch string, took time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.answeredAt[watch] = time.Now()
		f.endPeersOutage(f.answeredAt[watch])
	}
	if f.failing[watch] == (err != nil) {
		return
	}
	f.failing[watch] = err != nil
	if err != nil {
		event.Log(f.logger, event.StoreUnavailable).Str("what", watch).Dur("took_ms", took).Err(err).Send()
		return
	}
	f.availableSince = time.Now()
	event.Log(f.logger, event.StoreAvailable).Str("what", watch).Send()
}

// applyChanges applies the changes that a watch returned. Of several changes of one server the last one counts. Removals,
// which raise the directory's revision to that of the answer, come after the entries, so that a peer never finds the
// revision before the entries. writtenAfter is a time before which none of the changes was written, zero if that is unknown.
func (f *Follower) applyChanges(changes []ServerChange, asOf revision.Revision, writtenAfter time.Time) {
	entries, removed := lastChanges(changes)
	f.applyEntries(entries, asOf, writtenAfter)
	for _, change := range removed {
		f.removeAfterGrace(change.ID, max(change.Revision, asOf))
	}
	f.directory.Advance(asOf)
}

// lastChanges returns the last change of each server: the entries, and the removals.
func lastChanges(changes []ServerChange) (entries []*directory.Server, removed []ServerChange) {
	last := make(map[string]int, len(changes))
	for i, change := range changes {
		last[change.ID] = i
	}
	for i, change := range changes {
		switch {
		case last[change.ID] != i:
		case change.Server == nil:
			removed = append(removed, change)
		default:
			entries = append(entries, change.Server)
		}
	}
	return entries, removed
}

// applyList applies a full list: servers that it does not hold are removed. writtenAfter is as for applyChanges.
func (f *Follower) applyList(servers []ServerChange, asOf revision.Revision, writtenAfter time.Time) {
	f.recordEra(asOf)
	listed := make(map[string]bool, len(servers))
	var entries []*directory.Server
	for _, change := range servers {
		if change.Server != nil {
			listed[change.ID] = true
			entries = append(entries, change.Server)
		}
	}
	f.applyEntries(entries, asOf, writtenAfter)
	for _, id := range f.directory.Unlisted(listed, asOf) {
		f.removeAfterGrace(id, asOf)
	}
}

// applyEntries adds or updates servers and logs the changes.
func (f *Follower) applyEntries(entries []*directory.Server, asOf revision.Revision, writtenAfter time.Time) {
	f.mu.Lock()
	for _, server := range entries {
		delete(f.missing, server.ID)
	}
	f.mu.Unlock()
	for _, server := range f.directory.Apply(entries, asOf, writtenAfter) {
		event.Log(f.logger, event.ServerChanged).Str("server", server.ID).Str("address", server.Address).
			Bool("draining", server.Draining).Stringer("revision", server.Revision).Send()
	}
}

// recordEra records the era of a list and logs a change: the store came back from an older copy. The era before is that of an
// earlier list, of the store or of a peer.
func (f *Follower) recordEra(asOf revision.Revision) {
	known := f.directory.AsOf()
	f.mu.Lock()
	before := max(f.era, known.Era())
	later := asOf.Era() > before
	if later && (before > 0 || known > 0) {
		f.eraSince = time.Now()
	}
	f.era = max(before, asOf.Era())
	f.mu.Unlock()
	if before > 0 && later {
		event.Log(f.logger, event.StoreEraChanged).Uint64("before", before).Stringer("revision", asOf).Send()
	}
}

// ExpectAgain removes servers that the complete list of a peer of an older build doesn't hold, unless they are listed
// again within missingEntryGrace: such a list doesn't say whether the store was unavailable.
func (f *Follower) ExpectAgain(servers []*directory.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range servers {
		if _, waiting := f.missing[server.ID]; !waiting {
			f.missing[server.ID] = missingEntry{removeAt: time.Now().Add(missingEntryGrace), unlisted: server}
		}
	}
}

// removeServer removes a server and logs the change.
func (f *Follower) removeServer(id string, at revision.Revision) {
	if f.directory.Remove(id, at) != nil {
		event.Log(f.logger, event.ServerChanged).Str("server", id).Bool("removed", true).Stringer("revision", at).Send()
	}
}

// Tick removes the servers whose entries are still missing at the end of missingEntryGrace, and
// lets the directory admit those that it holds back.
func (f *Follower) Tick(now time.Time) {
	f.directory.AdmitHeldBack()
	f.mu.Lock()
	expired := make(map[string]missingEntry)
	for id, entry := range f.missing {
		if !now.Before(entry.removeAt) {
			expired[id] = entry
			delete(f.missing, id)
		}
	}
	f.mu.Unlock()
	for id, entry := range expired {
		switch {
		case entry.unlisted == nil:
			f.removeServer(id, entry.revision)
		case f.directory.Drop(entry.unlisted):
			event.Log(f.logger, event.ServerChanged).Str("server", id).Bool("removed", true).Stringer("revision", entry.unlisted.Revision).Send()
		}
	}
}
