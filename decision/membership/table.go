package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Table is the view that one instance has of the others.
type Table struct {
	config Config
	random *rand.Rand
	self   Record

	members map[string]*memberEntry
	// names holds the keys of members in order, nil after a change of them.
	names   []string
	notices map[NoticeKey]*noticeEntry
	reports map[reportKey]*reportEntry
	// proposed holds peers of the instance list that are not known yet.
	proposed []settings.Peer
	// former holds forgotten peers, the latest last: they are still probed now
	// and then, because a partition may outlast the records.
	former []settings.Peer

	probes       map[uint64]probe
	queue        []string
	healQueue    []settings.Peer
	bucket       bucket
	sequence     uint64
	sends        uint64
	exchanges    uint64
	nextExchange time.Time
	newsRounds   int
	reportStamp  uint64
	lastStep     time.Time
	counters     Counters
	dirty        bool
}

// New returns a table that knows only its own instance and the seeds.
func New(config Config, random *rand.Rand) *Table {
	config = config.WithDefaults()
	return &Table{
		config:  config,
		random:  random,
		self:    Record{Peer: config.Self, Incarnation: config.Incarnation},
		members: make(map[string]*memberEntry),
		notices: make(map[NoticeKey]*noticeEntry),
		reports: make(map[reportKey]*reportEntry),
		probes:  make(map[uint64]probe),
		bucket:  newBucket(config.BytesPerSecond, config.BurstBytes),
		// A random start keeps answers to an earlier process from counting.
		sequence: random.Uint64() >> 1,
	}
}

// Step takes one input and returns what to do.
func (t *Table) Step(now time.Time, input Input) Output {
	var out Output
	t.notePause(now, &out)
	t.bucket.fill(now)
	input.apply(t, now, &out)
	t.lastStep = now
	if len(out.Changes) > 0 {
		t.dirty = true
	}
	return out
}

// Counters returns what the table counted.
func (t *Table) Counters() Counters { return t.counters }

// Self returns the own record.
func (t *Table) Self() Record { return t.self }

// Changed reports whether the view changed since the last call.
func (t *Table) Changed() bool {
	changed := t.dirty
	t.dirty = false
	return changed
}

// notePause gives every suspect a new chance when this instance was paused:
// the silence was its own. Digests that waited in the meantime are of unknown
// age, so that every sender has to prove itself again.
func (t *Table) notePause(now time.Time, out *Output) {
	if t.lastStep.IsZero() || now.Sub(t.lastStep) < t.config.PauseThreshold {
		return
	}
	t.counters.Pauses++
	clear(t.probes)
	for _, entry := range t.members {
		entry.proven = false
		if entry.record.Health == Suspect {
			entry.suspectedAt = now
		}
	}
	t.nextExchange = now
	out.Changes = append(out.Changes, Change{Kind: ChangeResumed, Record: t.self})
}

// apply lets time pass.
func (Tick) apply(t *Table, now time.Time, out *Output) {
	t.expireProbes(now, out)
	t.expireSuspects(now, out)
	t.expireItems(now, out)
	if !now.Before(t.nextExchange) {
		t.exchange(now, out)
		t.nextExchange = now.Add(t.config.Period)
	}
	t.sendNews(now, out)
}

// expireSuspects declares suspects dead that did not refute in time.
func (t *Table) expireSuspects(now time.Time, out *Output) {
	for _, name := range t.memberNames() {
		entry := t.members[name]
		if entry.record.Health != Suspect || now.Sub(entry.suspectedAt) < t.config.SuspicionTimeout {
			continue
		}
		entry.record.Health = Dead
		t.changed(entry, now, out)
	}
}

// expireItems forgets dead instances and notices that are over.
func (t *Table) expireItems(now time.Time, out *Output) {
	for _, name := range t.memberNames() {
		entry := t.members[name]
		if entry.record.Health == Dead && now.Sub(entry.heard) >= t.config.DeadRetention {
			t.removeMember(name)
			delete(t.reports, reportKey{source: name})
			t.keepFormer(entry.record.Peer)
			out.Changes = append(out.Changes, Change{Kind: ChangeRemoved, Record: entry.record})
		}
	}
	for _, key := range t.noticeKeys() {
		entry := t.notices[key]
		if !now.Before(entry.notice.Expires) {
			delete(t.notices, key)
			out.Changes = append(out.Changes, Change{Kind: ChangeNotice, Notice: entry.notice})
		}
	}
}

// keepFormer remembers the address of a forgotten instance.
func (t *Table) keepFormer(peer settings.Peer) {
	t.former = append(t.former, peer)
	if len(t.former) > t.config.MaxFormerPeers {
		t.former = t.former[1:]
	}
}

// changed reports a record's new state and makes it urgent.
func (t *Table) changed(entry *memberEntry, now time.Time, out *Output) {
	entry.urgent = t.spreadLimit()
	t.newsRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeHealth, Record: t.aged(entry, now)})
}

// aged returns the entry's record with its age filled in.
func (t *Table) aged(entry *memberEntry, now time.Time) Record {
	record := entry.record
	record.Age = max(0, now.Sub(entry.heard))
	return record
}

// memberNames returns the names of the known instances in order. The result
// must not be changed.
func (t *Table) memberNames() []string {
	if t.names == nil && len(t.members) > 0 {
		t.names = make([]string, 0, len(t.members))
		for name := range t.members {
			t.names = append(t.names, name)
		}
		slices.Sort(t.names)
	}
	return t.names
}

// addMember adds an instance to the table.
func (t *Table) addMember(entry *memberEntry) {
	t.members[entry.record.Peer.Instance] = entry
	t.names = nil
}

// removeMember removes an instance from the table.
func (t *Table) removeMember(name string) {
	delete(t.members, name)
	t.names = nil
}

// noticeKeys returns the keys of the notices in order.
func (t *Table) noticeKeys() []NoticeKey {
	if len(t.notices) == 0 {
		return nil
	}
	keys := make([]NoticeKey, 0, len(t.notices))
	for key := range t.notices {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareNoticeKeys)
	return keys
}
