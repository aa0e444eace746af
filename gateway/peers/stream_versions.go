package peers

import (
	"cmp"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

const (
	// recordOwners is the number of peers that get the record of a stream. Several processes may
	// end at the same moment, also all of a data centre.
	recordOwners = 8
	// maxPendingRecords is the maximum number of records queued for one peer; the oldest are dropped.
	maxPendingRecords = 256
	// maxRecordsPerDigest is the maximum number of records in one digest.
	maxRecordsPerDigest = 48
)

// StreamVersions holds the records of the software versions that began streams.
type StreamVersions interface {
	// Learn adds records of peers.
	Learn(records []streamversion.Record)
	// Known returns the known ones among the records with the given keys.
	Known(keys []streamversion.Key) []streamversion.Record
}

// RecordStream queues the record of a stream that began here for the digests to its owners.
func (s *Service) RecordStream(record streamversion.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.table.recipients(record.Key, s.options.DataCentre) {
		p.pendingRecords = append(p.pendingRecords, record)
		if excess := len(p.pendingRecords) - maxPendingRecords; excess > 0 {
			p.pendingRecords = slices.Delete(p.pendingRecords, 0, excess)
		}
	}
}

// AskStream asks the owners of a stream's record for it, and reports whether there are any. Answers
// are passed to Learn.
func (s *Service) AskStream(key streamversion.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := s.table.owners(key)
	for _, p := range owners {
		digest := s.digest()
		digest.WantedStreams = []streamversion.Key{key}
		s.send(p.address, Encode(&digest))
	}
	return len(owners) > 0
}

// answerWanted returns a digest with the records that a peer asks for; nil when none is known.
func (s *Service) answerWanted(wanted []streamversion.Key) []byte {
	if len(wanted) == 0 {
		return nil
	}
	records := s.options.StreamVersions.Known(wanted)
	if len(records) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.digest()
	digest.StreamRecords = records
	return Encode(&digest)
}

// owners returns the peers that keep the record of a stream. Instances that know the same peers
// agree on most of them.
func (t *Table) owners(key streamversion.Key) []*peer {
	members := t.Members()
	if len(members) <= recordOwners {
		return members
	}
	prompt := rendezvous.Digest(key)
	slices.SortFunc(members, func(a, b *peer) int { return cmp.Compare(prompt.Weight(b.nameDigest), prompt.Weight(a.nameDigest)) })
	return members[:recordOwners]
}

// recipients returns the owners of a stream's record and the relays of the data centre, which write
// records to the store.
func (t *Table) recipients(key streamversion.Key, dataCentre string) []*peer {
	recipients := t.owners(key)
	for _, p := range t.peers {
		if p.relay && p.dataCentre == dataCentre && !slices.Contains(recipients, p) {
			recipients = append(recipients, p)
		}
	}
	return recipients
}

// takePendingRecords returns the records for the next digest to a peer and removes them.
func (p *peer) takePendingRecords() []streamversion.Record {
	count := min(len(p.pendingRecords), maxRecordsPerDigest)
	taken := slices.Clone(p.pendingRecords[:count])
	p.pendingRecords = slices.Delete(p.pendingRecords, 0, count)
	return taken
}
