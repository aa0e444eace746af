package membership

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// probe is a sent probe that waits for its reply.
type probe struct {
	peer     settings.Peer
	deadline time.Time
	// firstSent is when the first of a series of unanswered probes was sent.
	firstSent time.Time
}

// probe sends a digest that asks for a reply. first is the time of the first
// probe that has had no reply so far; it equals now for the probes of the exchange.
func (t *Table) probe(peer settings.Peer, first, now time.Time, out *Output) {
	digest := t.newDigest(Probe, peer.Instance)
	t.probes[digest.Sequence] = probe{peer: peer, deadline: now.Add(t.config.ProbeTimeout), firstSent: first}
	t.fillProbe(&digest, peer, first, now)
	t.counters.Probes++
	t.send(peer.Gossip, digest, out)
}

// fillProbe fills the probes of the exchange. Retried probes and challenges
// carry only the record that the receiver has to refute: they must not use up
// the bytes that updates need.
func (t *Table) fillProbe(digest *Digest, peer settings.Peer, first, now time.Time) {
	if first.Equal(now) {
		t.fillDigest(digest, peer, t.config.MaxDigestBytes, now)
		return
	}
	t.fill(digest, t.recordAbout(peer, now), t.config.MaxUpdateBytes-digest.Size())
}

// reply replies to a probe, with a full digest if the byte bucket allows it and
// with this instance's record only otherwise.
func (t *Table) reply(digest Digest, now time.Time, out *Output) {
	peer := digest.From.Peer
	reply := t.newDigest(Reply, peer.Instance)
	reply.ProbeSequence = digest.Sequence
	if t.bucket.allows(t.config.MaxDigestBytes) {
		t.fillDigest(&reply, peer, t.config.MaxDigestBytes, now)
	}
	t.counters.Replies++
	t.send(peer.Gossip, reply, out)
}

// completeProbe removes the probe that a reply answers. It ignores a reply from an
// instance other than the probed one.
func (t *Table) completeProbe(digest Digest) {
	waiting, ok := t.probes[digest.ProbeSequence]
	if ok && waiting.peer.Instance == digest.From.Peer.Instance {
		delete(t.probes, digest.ProbeSequence)
	}
}

// expireProbes retries probes without a reply, and suspects an instance that
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
		if now.Sub(later(waiting.firstSent, entry.lastUp)) < t.config.SuspectAfter {
			t.probe(waiting.peer, waiting.firstSent, now, out)
			continue
		}
		entry.record.Health = Suspect
		entry.suspectedAt = now
		t.publishRecord(entry, now, out)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
