package peers

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"
)

// RelayTarget is an instance that may reach the backend servers of a service.
type RelayTarget struct {
	Instance   string
	DataCentre string
	Address    netip.Addr
}

const (
	// maxRelayTargets is the maximum number of relay targets of one request. At most maxLocalRelayTargets
	// of them are in the own data centre, all of whose instances may be cut off together.
	maxRelayTargets      = 8
	maxLocalRelayTargets = 4
	// targetLifetimeIntervals is the number of reporting intervals without a digest after which a
	// peer is no target.
	targetLifetimeIntervals = 2
)

// SetRegions replaces the regions of the data centres.
func (s *Service) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = maps.Clone(regions)
}

// RelayTargets returns a bounded random sample of the peers that don't leave, sent a digest recently and
// don't state that they are cut off from a service: first those of the own data centre, then
// those of its region, then others. It is empty when there are none.
func (s *Service) RelayTargets(service string) []RelayTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.relayTargets(time.Now(), service, s.options.DataCentre, s.regions)
}

// relayTargets returns the targets of an instance in a data centre.
func (t *Table) relayTargets(now time.Time, service, dataCentre string, regions map[string]string) []RelayTarget {
	intervals := t.digestIntervals(dataCentre)
	var byDistance [3][]*peer
	for _, p := range t.peers {
		if p.mayServe(now, service, intervals.of(p, dataCentre)) {
			distance := distanceTo(p, dataCentre, regions)
			byDistance[distance] = append(byDistance[distance], p)
		}
	}
	remote := len(byDistance[1]) + len(byDistance[2])
	limits := [3]int{max(maxLocalRelayTargets, maxRelayTargets-remote), maxRelayTargets, maxRelayTargets}
	var targets []RelayTarget
	for distance, candidates := range byDistance {
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, p := range candidates[:min(len(candidates), limits[distance], maxRelayTargets-len(targets))] {
			targets = append(targets, RelayTarget{Instance: p.instance, DataCentre: p.dataCentre, Address: p.address})
		}
	}
	return targets
}

// mayServe reports whether a peer may serve requests of a service now, when digests arrive from it at
// an interval.
func (p *peer) mayServe(now time.Time, service string, interval time.Duration) bool {
	return !p.leaving && p.version > 0 && now.Sub(p.lastDigestAt) <= targetLifetimeIntervals*interval && !p.cutOff.Includes(service)
}

// distanceTo returns 0 for a peer in a data centre, 1 for one in the same region, else 2.
func distanceTo(p *peer, dataCentre string, regions map[string]string) int {
	region := regions[dataCentre]
	switch {
	case p.dataCentre == dataCentre:
		return 0
	case region != "" && regions[p.dataCentre] == region:
		return 1
	default:
		return 2
	}
}

// digestIntervals returns the intervals at which peers send unchanged digests to this instance.
func (t *Table) digestIntervals(dataCentre string) sendIntervals {
	local := 0
	for _, p := range t.peers {
		if p.dataCentre == dataCentre {
			local++
		}
	}
	remote := len(t.peers) - local
	return sendIntervals{
		local:  sendInterval(localRefresh, local, maxLocalDigestRate),
		remote: max(sendInterval(remoteRefresh, remote, maxRemoteDigestRate), idleRefresh(remote)),
	}
}

// idleRefresh returns the mean time between two digests without loads to a remote peer.
func idleRefresh(remote int) time.Duration {
	return time.Duration(remote) * roundPeriod / maxIdleRemoteDigests
}

// of returns the interval for a peer.
func (i sendIntervals) of(p *peer, dataCentre string) time.Duration {
	if p.dataCentre == dataCentre {
		return i.local
	}
	return i.remote
}
