package overflow

import (
	"math/rand/v2"
	"time"
)

// MaxHops is the maximum number of times that a request is forwarded to a peer.
const MaxHops = 1

// Chooser orders peers without those that refused. It is not safe for concurrent use.
type Chooser struct {
	dataCentre string
	region     string
	random     *rand.Rand
	// refused holds the time until which a peer is left out.
	refused map[string]time.Duration
}

// NewChooser returns a chooser for an instance in the given place.
func NewChooser(dataCentre, region string, random *rand.Rand) *Chooser {
	return &Chooser{dataCentre: dataCentre, region: region, random: random, refused: make(map[string]time.Duration)}
}

// Order returns the peers to try for a request that has made the given number
// of hops, best first. allowed reports whether a rule allows the request in a data
// centre of a region.
func (c *Chooser) Order(now time.Duration, hops int, peers []Peer, allowed func(dataCentre, region string) bool) []Peer {
	if hops >= MaxHops {
		return nil
	}
	var near, far []Peer
	for _, peer := range peers {
		if peer.DataCentre == c.dataCentre || now < c.refused[peer.Instance] || !allowed(peer.DataCentre, peer.Region) {
			continue
		}
		if peer.Region == c.region {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	c.shuffle(near)
	c.shuffle(far)
	return append(near, far...)
}

// Refused records that a peer has no capacity for the given time.
func (c *Chooser) Refused(now time.Duration, instance string, wait time.Duration) {
	c.refused[instance] = now + wait
}

func (c *Chooser) shuffle(peers []Peer) {
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}
