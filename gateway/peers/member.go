package peers

import (
	"net/netip"
	"time"
)

// member is another instance.
type member struct {
	instance    string
	dataCentre  string
	address     netip.Addr
	incarnation uint64
	// earlier is the incarnation of the process before.
	earlier  uint64
	sequence uint64
	version  uint64
	revision uint64
	servers  uint64
	relay    bool
	leaving  bool
	heard    time.Time
	// sent is when the last digest was sent to it, fingerprint that of its
	// loads.
	sent        time.Time
	fingerprint uint64
	// failed is when it did not answer a question.
	failed time.Time
	// fetched is the fingerprint of the servers that were last read from it.
	fetched uint64
}
