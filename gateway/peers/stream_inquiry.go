package peers

import "time"

// StreamInquiry is a question to peers for the record of a stream. Whether and with which list of servers they answer shows
// whether this instance is in step with them.
type StreamInquiry struct {
	service *Service
	begun   time.Time
	// asked is set when any address was asked, peers are those of them that are known.
	asked bool
	peers []*peer
}

// Asked reports whether any address was asked.
func (q StreamInquiry) Asked() bool { return q.asked }

// Answered reports whether more than half of the peers that were asked have sent a digest since. An instance that never had a
// peer needs none.
func (q StreamInquiry) Answered() bool {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	answered := 0
	for _, p := range q.peers {
		if p.lastDigestAt.After(q.begun) {
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
