package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// countedPeers returns the other instances among which limits are divided: those of the settings
// and of the membership without those that failed. A dead instance counts as failed only when
// its data centre has an alive instance. A data centre without one may be partitioned, and its
// instances keep their shares.
func (e *Exchange) countedPeers(now time.Time) []settings.Peer {
	view := e.members.View()
	reachable := reachableDataCentres(view)
	counted := make(map[string]settings.Peer)
	if now.Sub(e.started) < seedPeriods*e.period {
		for _, seed := range e.seeds {
			counted[seed.Instance] = seed
		}
	}
	for _, seed := range e.seeds {
		if !reachable[seed.DataCentre] {
			counted[seed.Instance] = seed
		}
	}
	for _, record := range view.Members {
		released := e.hasReleasedShare(record, now)
		if !released || !reachable[record.Peer.DataCentre] {
			counted[record.Peer.Instance] = record.Peer
			continue
		}
		delete(counted, record.Peer.Instance)
	}
	delete(counted, e.instance)
	peers := make([]settings.Peer, 0, len(counted))
	for _, peer := range counted {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b settings.Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return peers
}

// hasReleasedShare records since when a member is dead and reports whether that is longer than
// the pause threshold. A member that was only paused has then released its share.
func (e *Exchange) hasReleasedShare(record membership.Record, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := record.Peer.Instance
	if record.Health != membership.Dead {
		delete(e.deadSince, name)
		return false
	}
	since, known := e.deadSince[name]
	if !known {
		e.deadSince[name] = now
		return false
	}
	return now.Sub(since) > share.DefaultConfig(e.period).PauseThreshold
}

// reachableDataCentres returns the data centre of this instance and those with an alive
// instance.
func reachableDataCentres(view *membership.Snapshot) map[string]bool {
	reachable := map[string]bool{view.Self.Peer.DataCentre: true}
	for _, record := range view.Members {
		if record.Health == membership.Alive {
			reachable[record.Peer.DataCentre] = true
		}
	}
	return reachable
}
