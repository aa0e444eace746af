package peers

import (
	"net/netip"
	"time"
)

// member is another instance, as described by its last digest.
type member struct {
	instance    string
	dataCentre  string
	address     netip.Addr
	incarnation uint64
	// earlier is the incarnation of the instance's previous process.
	earlier  uint64
	sequence uint64
	version  uint64
	revision uint64
	servers  uint64
	relay    bool
	leaving  bool
	// heard is when the last current digest arrived.
	heard time.Time
	// sent is when the last digest was sent to the peer, fingerprint the hash of
	// the loads in that digest.
	sent        time.Time
	fingerprint uint64
	// failed is when a fetch from the peer last failed.
	failed time.Time
	// fetched is the fingerprint of the servers that were last fetched from the peer.
	fetched uint64
}
