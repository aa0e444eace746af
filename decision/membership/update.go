package membership

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// sendUpdates sends one round of small digests if there are updates to send and the
// byte bucket allows it; otherwise the round is postponed.
func (t *Table) sendUpdates(now time.Time, out *Output) {
	if t.updateRounds == 0 {
		return
	}
	if !t.bucket.allows(t.config.UpdateFanOut * (t.config.MaxUpdateBytes + DatagramHeaderBytes)) {
		t.counters.UpdatesPostponed++
		return
	}
	t.updateRounds--
	for _, peer := range t.updateTargets() {
		digest := t.newDigest(Update, peer.Instance)
		t.fillUpdate(&digest, peer, now)
		t.counters.Updates++
		t.send(peer.Gossip, digest, out)
	}
}

// updateTargets returns random live instances of this data centre and, on a
// bridge, one of another.
func (t *Table) updateTargets() []settings.Peer {
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
