package peers

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// round sends what is due.
func (s *Service) round(now time.Time) {
	loads := s.options.Ledger.Loads()
	slices.SortFunc(loads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	usages := s.options.Ledger.Usages()
	servers := s.options.Directory.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for _, address := range s.table.NextProbes(now) {
		digest := s.digest()
		digest.Probe = true
		s.send(address, Encode(&digest))
	}
	members := s.table.Members()
	paces := paceOf(members, s.options.DataCentre)
	s.options.Ledger.Expire(paces.lifetime())
	idleFar := 0
	for _, i := range rand.Perm(len(members)) {
		known := members[i]
		near := known.dataCentre == s.options.DataCentre
		needed := loads
		if !near {
			needed = slices.DeleteFunc(slices.Clone(loads), func(load ServerLoad) bool {
				server := servers.Find(load.Server)
				return server == nil || server.DataCentre != known.dataCentre
			})
		}
		mark := fingerprint(needed)
		if !due(now, known, near, s.options.Follower.Following(), paces, mark) {
			continue
		}
		if !near && len(needed) == 0 && mark == known.fingerprint {
			if idleFar++; idleFar > farMembers {
				continue
			}
		}
		digest := s.digest()
		digest.HasLoads, digest.Loads = true, needed
		if near {
			digest.Usages = usages
		}
		digest.Members = someAddresses(members)
		known.sent, known.fingerprint = now, mark
		s.send(known.address, Encode(&digest))
	}
}

// due reports whether a member gets a digest now.
func due(now time.Time, known *member, near, relay bool, paces pace, mark uint64) bool {
	since := now.Sub(known.sent)
	if near && relay && since >= relayRefresh {
		return true
	}
	if near {
		return since >= max(nearRefresh, paces.near) || (mark != known.fingerprint && since >= paces.near)
	}
	return since >= max(farRefresh, paces.far) || (mark != known.fingerprint && since >= paces.far)
}

// someAddresses returns addresses of members drawn at random.
func someAddresses(members []*member) []netip.Addr {
	var addresses []netip.Addr
	for range min(namedMembers, len(members)) {
		addresses = append(addresses, members[rand.IntN(len(members))].address)
	}
	return addresses
}

// fingerprint returns a hash of loads.
func fingerprint(loads []ServerLoad) uint64 {
	hash := xxhash.New()
	for i := range loads {
		// Writes to a hash never fail.
		_, _ = hash.Write(encodeLoad(&loads[i]))
	}
	return hash.Sum64()
}
