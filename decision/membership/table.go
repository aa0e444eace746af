package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Table holds the view that one instance has of the others.
type Table struct {
	config Config
	random *rand.Rand
	self   Record

	members map[string]*memberEntry
	// names holds the keys of members in order; it is nil after a change of them.
	names   []string
	notices map[NoticeKey]*noticeEntry
	reports map[reportKey]*reportEntry
	// proposed holds the peers of the platform's last instance list.
	proposed []settings.Peer
	// former holds removed peers, the latest last. They are still probed from
	// time to time, because a partition may last longer than the records.
	former []settings.Peer

	probes        map[uint64]probe
	probeQueue    []string
	rejoinQueue   []settings.Peer
	bucket        bucket
	sequence      uint64
	itemsSent     uint64
	exchanges     uint64
	nextExchange  time.Time
	updateRounds  int
	reportVersion uint64
	lastStep      time.Time
	counters      Counters
	viewChanged   bool
}

// New returns a table that holds only its own instance and the seeds.
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
		// With a random start, replies to an earlier process match no probe.
		sequence: random.Uint64() >> 1,
	}
}

// Step processes one input and returns the datagrams to send and the changes.
func (t *Table) Step(now time.Time, input Input) Output {
	var out Output
	t.detectPause(now, &out)
	t.bucket.refill(now)
	input.apply(t, now, &out)
	t.lastStep = now
	if len(out.Changes) > 0 {
		t.viewChanged = true
	}
	return out
}

// Counters returns the current values of the counters.
func (t *Table) Counters() Counters { return t.counters }

// Self returns the record of this instance.
func (t *Table) Self() Record { return t.self }

// Changed reports whether the view changed since the last call.
func (t *Table) Changed() bool {
	changed := t.viewChanged
	t.viewChanged = false
	return changed
}

// detectPause restarts every suspect's timeout when this instance was paused,
// because the pause explains why it received nothing. Digests that waited in the
// meantime are of unknown age, so that every sender has to answer a probe again.
func (t *Table) detectPause(now time.Time, out *Output) {
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

// apply runs the timers that have expired and starts the exchange and the
// updates that are due.
func (Tick) apply(t *Table, now time.Time, out *Output) {
	t.expireProbes(now, out)
	t.expireSuspects(now, out)
	t.expireItems(now, out)
	if !now.Before(t.nextExchange) {
		t.exchange(now, out)
		t.nextExchange = now.Add(t.config.Period)
	}
	t.sendUpdates(now, out)
}

// expireSuspects marks suspects as dead that did not refute in time.
func (t *Table) expireSuspects(now time.Time, out *Output) {
	for _, name := range t.memberNames() {
		entry := t.members[name]
		if entry.record.Health != Suspect || now.Sub(entry.suspectedAt) < t.config.SuspicionTimeout {
			continue
		}
		entry.record.Health = Dead
		t.publishRecord(entry, now, out)
	}
}

// expireItems removes dead instances that were last known to be up
// Config.DeadRetention ago, and expired notices.
func (t *Table) expireItems(now time.Time, out *Output) {
	for _, name := range t.memberNames() {
		entry := t.members[name]
		if entry.record.Health == Dead && now.Sub(entry.lastUp) >= t.config.DeadRetention {
			t.removeMember(name)
			delete(t.reports, reportKey{source: name})
			t.addFormer(entry.record.Peer)
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

// addFormer stores the addresses of a removed instance and drops the oldest
// ones past Config.MaxFormerPeers.
func (t *Table) addFormer(peer settings.Peer) {
	t.former = append(t.former, peer)
	if len(t.former) > t.config.MaxFormerPeers {
		t.former = t.former[1:]
	}
}

// publishRecord reports a record's new state and makes the record urgent.
func (t *Table) publishRecord(entry *memberEntry, now time.Time, out *Output) {
	entry.urgent = t.urgentSends()
	t.updateRounds = t.config.UpdateRounds
	out.Changes = append(out.Changes, Change{Kind: ChangeHealth, Record: t.aged(entry, now)})
}

// aged returns the entry's record with its age filled in.
func (t *Table) aged(entry *memberEntry, now time.Time) Record {
	record := entry.record
	record.Age = max(0, now.Sub(entry.lastUp))
	return record
}

// memberNames returns the names of the known instances in order. The caller must
// not modify the result.
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
