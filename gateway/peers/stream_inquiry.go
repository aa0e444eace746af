package peers

import (
	"net/netip"
	"time"
)

// StreamInquiry is a question to peers for the record of a stream. Whether and with which list of servers they answer shows
// whether this instance is in step with them.
type StreamInquiry struct {
	service *Service
	begun   time.Time
	// asked is set when any address was asked, peers holds the sequences of the questions to those of them that are known.
	asked bool
	peers map[netip.Addr]uint64
}

// Asked reports whether any address was asked.
func (q StreamInquiry) Asked() bool { return q.asked }

// Answered reports whether more than half of the peers that were asked have answered. An instance that never had a
// peer needs none.
func (q StreamInquiry) Answered() bool {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	answered := 0
	for address, sequence := range q.peers {
		if p := q.service.table.peers[address]; p != nil && p.answeredSince(q.begun, sequence) {
			answered++
		}
	}
	return 2*answered > len(q.peers) || len(q.peers) == 0 && !q.service.table.hadPeers
}

// Behind reports whether a peer that has sent a digest since has a later list of servers than this instance.
func (q StreamInquiry) Behind() bool {
	own := q.service.localState()
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	for _, p := range q.service.table.peers {
		if p.lastDigestAt.After(q.begun) && p.revision > own.Revision && p.servers != own.Servers {
			return true
		}
	}
	return false
}

// answeredSince reports whether a peer has answered a question with a sequence, or a later one. Of a peer whose build does not
// name the question any digest counts that was handled since it was asked, although it may have been sent before.
func (p *peer) answeredSince(asked time.Time, sequence uint64) bool {
	if p.namesQuestion {
		return p.answered >= sequence
	}
	return p.lastDigestAt.After(asked)
}
