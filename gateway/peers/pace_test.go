package peers

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newPeers returns the peers of an instance in data centre "a": local peers in that data
// centre and remote peers in each of the remote ones.
func newPeers(local, remote, centres int) []*peer {
	var peers []*peer
	add := func(count int, dataCentre string) {
		for range count {
			peers = append(peers, &peer{instance: strconv.Itoa(len(peers)), dataCentre: dataCentre, address: addressOf(len(peers) % 250)})
		}
	}
	add(local, "a")
	for centre := range centres {
		add(remote, "b-"+strconv.Itoa(centre))
	}
	return peers
}

// TestDigestsStayWithinTheirRates counts the digests of an instance whose loads change
// all the time, with the numbers of instances that users have and with the number that
// the system is designed for.
func TestDigestsStayWithinTheirRates(t *testing.T) {
	for _, c := range []struct{ local, remote, centres int }{{2, 3, 2}, {14, 15, 5}, {49, 50, 5}, {184, 185, 12}} {
		is := is.New(t)
		peers := newPeers(c.local, c.remote, c.centres)
		intervals := sendIntervalsFor(peers, "a")
		const seconds = 60
		local, remote, loadsHash := 0, 0, uint64(0)
		for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(roundPeriod) {
			loadsHash++
			for _, p := range peers {
				if !needsDigest(now, p, p.dataCentre == "a", false, intervals, loadsHash) {
					continue
				}
				p.lastSentAt, p.sentLoadsHash = now, loadsHash
				if p.dataCentre == "a" {
					local++
				} else {
					remote++
				}
			}
		}
		t.Logf("%d and %d peers: %d and %d digests a second", c.local, c.remote*c.centres, local/seconds, remote/seconds)
		is.True(local <= maxLocalDigestRate*seconds+c.local) // the first digest to each peer comes on top
		is.True(remote <= maxRemoteDigestRate*seconds+c.remote*c.centres)
		is.True(intervals.loadLifetime() > intervals.local) // loads do not expire between two reports
	}
}

// TestSampleHasEnoughPeers checks that a sample has the full number of local and remote
// peers besides those that are always included.
func TestSampleHasEnoughPeers(t *testing.T) {
	is := is.New(t)
	peers := newPeers(184, 185, 12)
	peers[200].relay = true
	for range 20 {
		count := map[bool]int{}
		relay := false
		for _, p := range samplePeers(peers, "a", maxLocalFailurePeers, maxRemoteFailurePeers, func(p *peer) bool { return p.relay }) {
			if p.relay {
				relay = true
				continue
			}
			count[p.dataCentre == "a"]++
		}
		is.True(relay)
		is.Equal(count, map[bool]int{true: maxLocalFailurePeers, false: maxRemoteFailurePeers})
	}
	is.Equal(len(samplePeers(newPeers(2, 3, 2), "a", maxLocalFailurePeers, maxRemoteFailurePeers, func(*peer) bool { return false })), 8) // with few peers all are in the sample
}
