package membership

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// probe is one digest that waits for its reply.
type probe struct {
	peer     settings.Peer
	deadline time.Time
	// first is when the first of the unanswered probes was sent.
	first time.Time
}

// probe sends a digest that asks for a reply. First is the time of the first
// probe that got none so far.
func (t *Table) probe(peer settings.Peer, first, now time.Time, out *Output) {
	digest := t.newDigest(Probe, peer.Instance)
	t.probes[digest.Sequence] = probe{peer: peer, deadline: now.Add(t.config.ProbeTimeout), first: first}
	t.fillProbe(&digest, peer, first, now)
	t.counters.Probes++
	t.send(peer.Gossip, digest, out)
}

// fillProbe fills the probes of the exchange. Repeated probes and challenges
// tell the receiver only what it has to refute: they must not use up the bytes
// that news needs.
func (t *Table) fillProbe(digest *Digest, peer settings.Peer, first, now time.Time) {
	if first.Equal(now) {
		t.fillDigest(digest, peer, t.config.MaxDigestBytes, now)
		return
	}
	t.fill(digest, t.recordAbout(peer, now), t.config.MaxUpdateBytes-digest.Size())
}

// answer replies to a probe, in full while the byte bucket allows it.
func (t *Table) answer(digest Digest, now time.Time, out *Output) {
	peer := digest.From.Peer
	reply := t.newDigest(Reply, peer.Instance)
	reply.ProbeSequence = digest.Sequence
	if t.bucket.holds(t.config.MaxDigestBytes) {
		t.fillDigest(&reply, peer, t.config.MaxDigestBytes, now)
	}
	t.counters.Replies++
	t.send(peer.Gossip, reply, out)
}

// settleProbe ends the probe that a reply answers. A reply from another
// instance than the one that was asked settles nothing.
func (t *Table) settleProbe(digest Digest) {
	waiting, ok := t.probes[digest.ProbeSequence]
	if ok && waiting.peer.Instance == digest.From.Peer.Instance {
		delete(t.probes, digest.ProbeSequence)
	}
}

// expireProbes repeats a probe without a reply, and suspects an instance that
// was silent for Config.SuspectAfter.
func (t *Table) expireProbes(now time.Time, out *Output) {
	var expired []uint64
	for sequence, waiting := range t.probes {
		if !now.Before(waiting.deadline) {
			expired = append(expired, sequence)
		}
	}
	slices.Sort(expired)
	for _, sequence := range expired {
		waiting := t.probes[sequence]
		delete(t.probes, sequence)
		t.counters.ProbesTimedOut++
		entry, known := t.members[waiting.peer.Instance]
		if !known || entry.record.Health != Alive {
			continue
		}
		if now.Sub(later(waiting.first, entry.heard)) < t.config.SuspectAfter {
			t.probe(waiting.peer, waiting.first, now, out)
			continue
		}
		entry.record.Health = Suspect
		entry.suspectedAt = now
		t.changed(entry, now, out)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
