package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

// Times of the follower.
const (
	// retryWait and retryLimit bound the wait before a failed call is
	// repeated. Each call has a price, and a change has to be in force three
	// seconds after the store is reachable again.
	retryWait  = 150 * time.Millisecond
	retryLimit = 1200 * time.Millisecond
	// serverPause is the time between two watches of the backend servers:
	// changes that come together cost one call. backupPause is that of a backup,
	// which hears of most changes from the first relay.
	serverPause = 500 * time.Millisecond
	backupPause = 1500 * time.Millisecond
	// settleTime is the time after the first list of a process in which it hears
	// from other instances whether it has to follow the store at all.
	settleTime = 700 * time.Millisecond
	// configurationPause does the same for the configuration, which changes
	// rarely.
	configurationPause = 100 * time.Millisecond
	// standInWait is retryLimit of an instance that stands in for others.
	standInWait = 3 * time.Second
	// relayCheck is the time between two looks whether this instance has to
	// follow the store.
	relayCheck = 200 * time.Millisecond
	// lapseGrace is how long an entry may be missing after the store was away:
	// living servers write theirs again within two seconds.
	lapseGrace = 2300 * time.Millisecond
)

// Follower follows the object store.
type Follower struct {
	feed      Feed
	state     *State
	directory *directory.Directory
	logger    zerolog.Logger
	// duty returns the duty of this instance. changed is called after each change.
	duty    func() RelayRole
	changed func()
	mu      sync.Mutex
	// failing holds the watches that fail now, and following those under way.
	failing    map[string]bool
	following  map[string]bool
	regainedAt time.Time
	// missing holds the servers whose entry lapsed and may come back, with the
	// time of their removal and the revision of it.
	missing map[string]lapse
}

// lapse is an entry that is missing since the store was away.
type lapse struct {
	due      time.Time
	revision uint64
}

// NewFollower returns a follower that fills a state and a directory. It follows
// the store while its duty says so, and calls changed after each change.
func NewFollower(feed Feed, state *State, servers *directory.Directory, duty func() RelayRole, changed func(), logger zerolog.Logger) *Follower {
	return &Follower{
		feed: feed, state: state, directory: servers, duty: duty, changed: changed, logger: logger,
		failing: make(map[string]bool), following: make(map[string]bool), missing: make(map[string]lapse),
	}
}

// What a follower watches.
const (
	watchConfiguration = "configuration"
	watchServers       = "servers"
	watches            = 2
)

// Following reports whether this instance follows the store and no call to it
// fails.
func (f *Follower) Following() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failing := range f.failing {
		if failing {
			return false
		}
	}
	return len(f.following) == watches
}

// RunConfiguration keeps the configuration up to date until the context ends.
func (f *Follower) RunConfiguration(ctx context.Context) {
	pauses := spacing{first: configurationPause, backup: configurationPause}
	f.run(ctx, watchConfiguration, pauses, func(ctx context.Context, after uint64, listed bool) (uint64, error) {
		var newest *Configuration
		var revision uint64
		var err error
		if listed {
			newest, revision, err = f.feed.WatchConfiguration(ctx, after)
		} else {
			newest, revision, err = f.feed.Configuration(ctx)
		}
		if err != nil {
			return 0, err
		}
		if f.state.Offer(newest) {
			event.Log(f.logger, event.ConfigurationInForce).Uint64("version", newest.Table.Version).
				Int("routes", newest.Table.Routes()).Uint64("revision", revision).Str("source", "store").Send()
		}
		return revision, nil
	})
}

// RunServers keeps the directory up to date until the context ends.
func (f *Follower) RunServers(ctx context.Context) {
	// The first list may be seconds old, which costs less: the watch goes on
	// where it ends. When the store keeps no history for that, a list is read
	// that is not.
	fresh := false
	pauses := spacing{first: serverPause, backup: backupPause}
	f.run(ctx, watchServers, pauses, func(ctx context.Context, after uint64, listed bool) (uint64, error) {
		if listed {
			changes, revision, err := f.feed.WatchServers(ctx, after)
			if err != nil {
				return 0, err
			}
			f.apply(changes, revision)
			return revision, nil
		}
		servers, revision, err := f.feed.Servers(ctx, fresh)
		if err != nil {
			return 0, err
		}
		fresh = true
		f.replace(servers, revision)
		return revision, nil
	})
}

// spacing is the time between two calls of a relay and of its backup.
type spacing struct {
	first, backup time.Duration
}

// run lists once and then watches; a failed call is repeated after a growing
// wait, and a lost history starts with a list again.
func (f *Follower) run(ctx context.Context, what string, pauses spacing, read func(context.Context, uint64, bool) (uint64, error)) {
	var revision uint64
	listed, settled, wait := false, false, retryWait
	for ctx.Err() == nil {
		duty := f.duty()
		between := pauses.first
		if duty == Backup {
			between = pauses.backup
		}
		if duty == Passive {
			// What changes meanwhile is not seen: the next turn begins with a
			// list.
			listed = false
			f.noteFollowing(what, false)
			pause.For(ctx, relayCheck)
			continue
		}
		next, err := read(ctx, revision, listed)
		switch {
		case err == nil:
			f.note(what, nil)
			f.noteFollowing(what, true)
			f.changed()
			revision, listed, wait = next, true, retryWait
			if !settled {
				settled, between = true, settleTime
			}
			pause.For(ctx, between)
		case fault.HasCode(err, fault.PlatformHistoryGone):
			event.Log(f.logger, event.StoreHistoryGone).Str("what", what).Uint64("revision", revision).Send()
			listed = false
			pause.For(ctx, between)
		default:
			f.note(what, err)
			if duty == Substitute {
				wait = standInWait
			}
			pause.For(ctx, wait/2+time.Duration(rand.Int64N(int64(wait/2))))
			wait = min(2*wait, retryLimit)
		}
	}
}

func (f *Follower) noteFollowing(what string, following bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if following {
		f.following[what] = true
	} else {
		delete(f.following, what)
		delete(f.failing, what)
	}
}

// errStuck means that others hear of changes that a watch does not tell of.
var errStuck = fault.New(fault.PlatformUnavailable, "other instances know more than the watch tells")

// Stuck notes that the watch of the backend servers is taken for lost: until it
// answers, this instance does not count as following the store.
func (f *Follower) MarkWatchStuck() { f.note(watchServers, errStuck) }

// note logs the first failed call and the first that works again.
func (f *Follower) note(what string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing[what] == (err != nil) {
		return
	}
	f.failing[what] = err != nil
	if err != nil {
		event.Log(f.logger, event.StoreUnavailable).Str("what", what).Err(err).Send()
		return
	}
	f.regainedAt = time.Now()
	event.Log(f.logger, event.StoreAvailable).Str("what", what).Send()
}

// apply takes over the changes of a watch.
func (f *Follower) apply(changes []ServerChange, revision uint64) {
	for _, change := range changes {
		if change.Server == nil {
			f.lapse(change.ID, max(change.Revision, revision))
			continue
		}
		f.put(change)
	}
}

// replace takes over a whole list: servers that it does not hold were removed.
func (f *Follower) replace(servers []ServerChange, revision uint64) {
	listed := make(map[string]bool, len(servers))
	for _, change := range servers {
		if change.Server != nil {
			listed[change.ID] = true
			f.put(change)
		}
	}
	for _, server := range f.directory.Snapshot().All {
		if !listed[server.ID] {
			f.lapse(server.ID, revision)
		}
	}
}

func (f *Follower) put(change ServerChange) {
	f.mu.Lock()
	delete(f.missing, change.ID)
	f.mu.Unlock()
	if f.directory.Put(change.Server) {
		event.Log(f.logger, event.ServerChanged).Str("server", change.ID).Str("address", change.Server.Address).
			Bool("draining", change.Server.Draining).Uint64("revision", change.Revision).Send()
	}
}

// lapse removes a server whose entry is gone: at once, or after a grace when
// the store was away a moment ago.
func (f *Follower) lapse(id string, revision uint64) {
	f.mu.Lock()
	regained := f.regainedAt
	if f.failing[watchServers] {
		regained = time.Now() // this call is the first that works again
	}
	recent := !regained.IsZero() && time.Since(regained) < lapseGrace
	if recent {
		if _, waiting := f.missing[id]; !waiting {
			f.missing[id] = lapse{due: regained.Add(lapseGrace), revision: revision}
		}
	}
	f.mu.Unlock()
	if !recent {
		f.remove(id, revision)
	}
}

func (f *Follower) remove(id string, revision uint64) {
	if f.directory.Remove(id, revision) != nil {
		event.Log(f.logger, event.ServerChanged).Str("server", id).Bool("removed", true).Uint64("revision", revision).Send()
	}
}

// Tick removes the servers whose grace ended.
func (f *Follower) Tick(now time.Time) {
	f.mu.Lock()
	due := make(map[string]uint64)
	for id, entry := range f.missing {
		if !now.Before(entry.due) {
			due[id] = entry.revision
			delete(f.missing, id)
		}
	}
	f.mu.Unlock()
	for id, revision := range due {
		f.remove(id, revision)
	}
}
