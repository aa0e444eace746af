package peers

import (
	"net/netip"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// peer is another instance, as described by its last digest.
type peer struct {
	instance    string
	dataCentre  string
	address     netip.Addr
	incarnation uint64
	// previousIncarnation is the incarnation of the instance's previous process.
	previousIncarnation uint64
	sequence            uint64
	version             uint64
	revision            revision.Revision
	servers             uint64
	asOf                revision.Revision
	relay               bool
	leaving             bool
	// cutOff states of which services the peer reaches no backend server.
	cutOff CutOff
	// lastDigestAt is when the last current digest arrived.
	lastDigestAt time.Time
	// lastSentAt is when the last digest was sent to the peer, sentLoadsHash the hash of
	// the loads in that digest.
	lastSentAt    time.Time
	sentLoadsHash uint64
	// namesQuestion is set when the peer's answers name the question, answered is the sequence of the latest question of
	// this instance that it answered.
	namesQuestion bool
	answered      uint64
	// nameDigest is the digest of instance, for the ranking of owners.
	nameDigest rendezvous.Digest
	// started is set when the peer's process is new.
	started bool
	// pendingRecords are the records of streams that the peer gets with the next digests.
	pendingRecords []streamversion.Record
	// configurationAsked and serversAsked are set while a configuration or servers are fetched from the peer.
	configurationAsked bool
	serversAsked       bool
	// fetchFailedAt is when a fetch from the peer last failed.
	fetchFailedAt time.Time
	// lastFetch is the last fetch of servers from the peer.
	lastFetch serverFetch
}

// readsStore reports whether the peer is alive and follows the store, which answers it.
func (p *peer) readsStore(now time.Time) bool {
	return p.relay && now.Sub(p.lastDigestAt) <= relayTimeout
}

// position returns the latest revision of the store that the peer's list of servers accounts for.
func (p *peer) position() revision.Revision { return max(p.revision, p.asOf) }

// serverFetch is a fetch of servers from a peer.
type serverFetch struct {
	// theirs and own are the fingerprints of both lists after the fetch.
	theirs, own uint64
	// repeatAt is when the peer is asked again although both are unchanged.
	repeatAt time.Time
}

// covers reports whether a fetch of the same lists would bring nothing new now.
func (f serverFetch) covers(now time.Time, theirs, own uint64) bool {
	return theirs == f.theirs && own == f.own && now.Before(f.repeatAt)
}
