package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

const (
	// recordOwners is the number of peers that get the record of a stream. Several processes may
	// end at the same moment, also all of a data centre. In a large estate there are
	// largeEstateOwners, because each is sent a digest of its own.
	recordOwners      = 8
	largeEstateOwners = 3
	maxSmallEstate    = 64
	// recordInterval is the minimum time between two digests to a peer for the sake of records.
	recordInterval = 150 * time.Millisecond
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

// RecordStream keeps the record of a stream that began here. While several versions serve, and for a
// minute after, it is queued for the digests to its owners.
func (s *Service) RecordStream(record streamversion.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentRecords = append(s.recentRecords, record)
	if excess := len(s.recentRecords) - maxPendingRecords; excess > 0 {
		s.recentRecords = slices.Delete(s.recentRecords, 0, excess)
	}
	if !time.Now().Before(s.severalUntil) {
		return
	}
	for _, p := range s.table.recipients(record.Key, s.options.DataCentre) {
		p.addPending(record)
	}
}

// queueRecent queues the recent records of this instance for the peers among their recipients whose
// process is new, and for all recipients when a service begins to have several versions; mu is held.
func (s *Service) queueRecent(now time.Time, several bool) {
	began := several && !now.Before(s.severalUntil)
	if several {
		s.severalUntil = now.Add(streamversion.Lifetime)
	}
	started := s.table.takeStarted()
	if !now.Before(s.severalUntil) || (!began && len(started) == 0) {
		return
	}
	for _, record := range s.recentRecords {
		for _, p := range s.table.recipients(record.Key, s.options.DataCentre) {
			if began || slices.Contains(started, p) {
				p.addPending(record)
			}
		}
	}
}

// takeStarted returns the peers whose process is new since the last call.
func (t *Table) takeStarted() []*peer {
	var started []*peer
	for _, p := range t.peers {
		if p.started {
			p.started = false
			started = append(started, p)
		}
	}
	return started
}

// addPending queues a record for the next digests to a peer.
func (p *peer) addPending(record streamversion.Record) {
	p.pendingRecords = append(p.pendingRecords, record)
	if excess := len(p.pendingRecords) - maxPendingRecords; excess > 0 {
		p.pendingRecords = slices.Delete(p.pendingRecords, 0, excess)
	}
}

// AskStream asks the owners of a stream's record for it. An instance that has just started asks addresses at which peers
// may be, too. Answers are passed to Learn.
func (s *Service) AskStream(key streamversion.Key) StreamInquiry {
	s.mu.Lock()
	defer s.mu.Unlock()
	inquiry := StreamInquiry{service: s, begun: time.Now(), peers: make(map[netip.Addr]uint64)}
	for _, p := range s.table.owners(key) {
		inquiry.peers[p.address] = s.askFor(key, p.address)
	}
	asked := len(inquiry.peers)
	for address := range s.table.unconfirmed {
		if asked >= recordOwners {
			break
		}
		s.askFor(key, address)
		asked++
	}
	inquiry.asked = asked > 0
	return inquiry
}

// askFor asks the instance at an address for the record of a stream, and returns the sequence of the question; mu is held.
func (s *Service) askFor(key streamversion.Key, address netip.Addr) uint64 {
	digest := s.digest()
	digest.WantedStreams = []streamversion.Key{key}
	s.send(address, Encode(&digest))
	return digest.Sequence
}

// answerWanted returns a digest with the records that a peer's digest asks for, as far as they are known; nil when it asks
// for none.
func (s *Service) answerWanted(question *Digest) []byte {
	if len(question.WantedStreams) == 0 {
		return nil
	}
	records := s.options.StreamVersions.Known(question.WantedStreams)
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.digest()
	digest.StreamRecords, digest.AnswerTo = records, question.Incarnation+question.Sequence
	return Encode(&digest)
}

// owners returns the peers that keep the record of a stream, in any order. Instances that know the
// same peers agree on most of them.
func (t *Table) owners(key streamversion.Key) []*peer {
	count := recordOwners
	if len(t.peers) > maxSmallEstate {
		count = largeEstateOwners
	}
	stream := rendezvous.Digest(key)
	owners, weights := make([]*peer, 0, count), make([]uint64, 0, count)
	for _, p := range t.peers {
		weight := stream.Weight(p.nameDigest)
		if len(owners) < count {
			owners, weights = append(owners, p), append(weights, weight)
			continue
		}
		lowest := 0
		for i := range weights {
			if weights[i] < weights[lowest] {
				lowest = i
			}
		}
		if weight > weights[lowest] {
			owners[lowest], weights[lowest] = p, weight
		}
	}
	return owners
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
