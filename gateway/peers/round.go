package peers

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// round expires silent peers and sends the probes and digests that are due.
func (s *Service) round(now time.Time) {
	loads := s.options.Ledger.Loads()
	slices.SortFunc(loads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	usages, rates := s.options.Ledger.Usages(), s.options.Ledger.Rates()
	waiting := s.options.Ledger.Waiting()
	speeds, centres := s.options.Ledger.Speeds(), s.options.Ledger.CentreStatements()
	servers, evidence := s.options.Directory.Snapshot(), s.options.Rollouts.Fingerprint()^hashRequestRates(s.options.Ledger.RequestRates())
	lately := s.options.SeveralLately != nil && s.options.SeveralLately()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for _, address := range s.table.NextProbes(now) {
		digest := s.digest()
		digest.Probe = true
		s.send(address, Encode(&digest))
	}
	s.queueRecent(now, servers.SeveralVersions || lately)
	peers := s.table.Members()
	intervals := sendIntervalsFor(peers, s.options.DataCentre)
	s.options.Ledger.Expire(intervals.loadLifetime())
	idleRemote := 0
	for _, i := range rand.Perm(len(peers)) {
		p := peers[i]
		local := p.dataCentre == s.options.DataCentre
		needed := loads
		if !local {
			needed = slices.DeleteFunc(slices.Clone(loads), func(load ServerLoad) bool {
				server := servers.Find(load.Server)
				return server == nil || server.DataCentre != p.dataCentre
			})
		}
		loadsHash := hashLoads(needed) ^ evidence
		if local {
			loadsHash ^= hashWaiting(waiting)
		}
		if !needsDigest(now, p, local, s.options.Follower.Following(), intervals, loadsHash) {
			continue
		}
		if !local && len(needed) == 0 && evidence == 0 && loadsHash == p.sentLoadsHash && len(p.pendingRecords) == 0 {
			if idleRemote++; idleRemote > maxIdleRemoteDigests {
				continue
			}
		}
		digest := s.digest()
		digest.HasLoads, digest.Loads = true, needed
		if local {
			digest.Usages, digest.Waiting, digest.Speeds = usages, waiting, speeds
			if rand.IntN(rateDigestSpacing) == 0 {
				digest.Rates = rates
			}
		}
		if local || rand.IntN(centreSpacing) == 0 {
			digest.Centres = centres
		}
		digest.StreamRecords = p.takePendingRecords()
		digest.Members = sampleAddresses(peers)
		p.lastSentAt, p.sentLoadsHash = now, loadsHash
		s.send(p.address, Encode(&digest))
	}
}

// needsDigest reports whether a peer gets a digest now: after the refresh time, earlier when the loads
// have changed since the last digest, or in this round when records of streams wait. loadsHash is
// the fingerprint of the loads; relay says whether this instance is a relay.
func needsDigest(now time.Time, p *peer, local, relay bool, intervals sendIntervals, loadsHash uint64) bool {
	since := now.Sub(p.lastSentAt)
	if local && relay && since >= relayRefresh {
		return true
	}
	if len(p.pendingRecords) > 0 && since >= recordInterval {
		return true
	}
	changed := loadsHash != p.sentLoadsHash
	if local {
		return since >= max(localRefresh, intervals.local) || (changed && since >= intervals.local)
	}
	return since >= max(remoteRefresh, intervals.remote) || (changed && since >= intervals.remote)
}

// sampleAddresses returns random addresses of peers; an address may occur twice.
func sampleAddresses(peers []*peer) []netip.Addr {
	var addresses []netip.Addr
	for range min(addressesPerDigest, len(peers)) {
		addresses = append(addresses, peers[rand.IntN(len(peers))].address)
	}
	return addresses
}

// hashLoads returns a hash of loads.
func hashLoads(loads []ServerLoad) uint64 {
	hash := xxhash.New()
	for i := range loads {
		// Writes to a hash never fail.
		_, _ = hash.Write(encodeLoad(&loads[i]))
	}
	return hash.Sum64()
}
