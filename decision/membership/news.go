package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// sendNews sends one round of small digests while there is news and the byte
// bucket allows it.
func (t *Table) sendNews(now time.Time, out *Output) {
	if t.newsRounds == 0 {
		return
	}
	if !t.bucket.holds(t.config.UpdateFanOut * (t.config.MaxUpdateBytes + DatagramHeaderBytes)) {
		t.counters.UpdatesPostponed++
		return
	}
	t.newsRounds--
	for _, peer := range t.newsTargets() {
		digest := t.newDigest(Update, peer.Instance)
		t.fillNews(&digest, peer, now)
		t.counters.Updates++
		t.send(peer.Gossip, digest, out)
	}
}

// newsTargets returns random live instances of the own data centre and, for a
// bridge, one of another.
func (t *Table) newsTargets() []settings.Peer {
	names := t.liveNames(t.self.Peer.DataCentre)
	shuffle(t.random, names)
	var picked []settings.Peer
	if t.isBridge() {
		picked = appendPeer(picked, t.foreignTarget())
	}
	for _, name := range names {
		if len(picked) == t.config.UpdateFanOut {
			break
		}
		if entry, ok := t.members[name]; ok {
			picked = append(picked, entry.record.Peer)
		}
	}
	return picked
}
