package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLocalDigestRate and maxRemoteDigestRate are the maximum digests per second that an
	// instance sends within its data centre and to remote ones. A digest has about 150 bytes
	// and costs both ends the handling of a datagram; control traffic has a share of 8 KB/s.
	maxLocalDigestRate  = 48
	maxRemoteDigestRate = 32
	// maxLocalFailurePeers and maxRemoteFailurePeers are the maximum numbers of local and
	// remote peers that get a server failure at once. More are not needed: many instances
	// detect the same failure, and each sends it to other peers.
	maxLocalFailurePeers  = 16
	maxRemoteFailurePeers = 16
	// maxRemoteAnnouncePeers is the maximum number of remote peers, besides the relays among
	// them, to which a relay sends a change at once.
	maxRemoteAnnouncePeers = 8
	// minLoadLifetime is the minimum lifetime of a peer's load report. With many instances
	// reports arrive less often, and so live longer.
	minLoadLifetime = 2 * time.Second
	// loadLifetimeIntervals is the number of reporting intervals without a report after
	// which a peer's loads expire.
	loadLifetimeIntervals = 2
)

// sendIntervals holds the minimum time between two digests to one peer, in the same data
// centre and in a remote one.
type sendIntervals struct {
	local, remote time.Duration
}

// sendIntervalsFor returns the intervals at which digests to all peers stay within
// maxLocalDigestRate and maxRemoteDigestRate.
func sendIntervalsFor(peers []*peer, dataCentre string) sendIntervals {
	local := 0
	for _, p := range peers {
		if p.dataCentre == dataCentre {
			local++
		}
	}
	return sendIntervals{local: sendInterval(roundPeriod, local, maxLocalDigestRate), remote: sendInterval(remoteSpacing, len(peers)-local, maxRemoteDigestRate)}
}

// sendInterval returns the time to send one digest to each peer at a rate per second,
// and at least the given minimum.
func sendInterval(minimum time.Duration, peers, rate int) time.Duration {
	return max(minimum, time.Duration(peers)*time.Second/time.Duration(rate))
}

// loadLifetime returns how long the load reports of peers stay valid. It follows the
// interval within the data centre.
func (i sendIntervals) loadLifetime() time.Duration {
	return max(minLoadLifetime, loadLifetimeIntervals*i.local)
}

// samplePeers returns a random sample of peers: all for which include returns true, and
// beside them at most local peers of this data centre and remote peers of others.
func samplePeers(peers []*peer, dataCentre string, local, remote int, include func(*peer) bool) []*peer {
	var sample []*peer
	for _, i := range rand.Perm(len(peers)) {
		p := peers[i]
		remaining := &remote
		if p.dataCentre == dataCentre {
			remaining = &local
		}
		if include(p) {
			sample = append(sample, p)
			continue
		}
		if *remaining > 0 {
			*remaining--
			sample = append(sample, p)
		}
	}
	return sample
}
