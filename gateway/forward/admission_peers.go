package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

const (
	// peerWaitingLifetime is how long the statement of a peer about its waiting requests counts.
	peerWaitingLifetime = 2 * time.Second
	// placePatience is about the time until peers hear that a place was taken.
	placePatience = 250 * time.Millisecond
	// maxPlacePatience is its maximum as a part of a request's longest wait.
	maxPlacePatience = 8
	// freeLifetime is how long a server counts as seen with room without another look at it.
	freeLifetime = 10 * roomCheckInterval
)

// peerWaiting is what a peer states about its waiting requests of a service.
type peerWaiting struct {
	claim      admission.Claim
	digest     rendezvous.Digest
	receivedAt time.Time
}

// freeServer is since when a server is seen with room, and when it was seen last.
type freeServer struct {
	since, seen time.Time
}

// search looks for room for a request. The caller holds mu.
func (a *admissions) search(w *waitingRequest, s *serviceAdmission) *grant {
	now := time.Now()
	waiting := a.peers[w.j.service]
	for instance, peer := range waiting {
		if now.Sub(peer.receivedAt) > peerWaitingLifetime {
			delete(waiting, instance)
		}
	}
	if len(waiting) == 0 {
		return w.find(nil)
	}
	own := rendezvous.DigestOf(a.f.instance)
	rank := w.j.table.Ranks(w.j.service).Position(w.j.rank)
	patience := min(placePatience, w.maxWait/maxPlacePatience)
	return w.find(func(server *directory.Server, free int) bool {
		digest := rendezvous.DigestOf(server.ID)
		others := make([]admission.Claim, 0, len(waiting))
		for _, peer := range waiting {
			claim := peer.claim
			claim.Weight = digest.Weight(peer.digest)
			others = append(others, claim)
		}
		seen := s.free[server.ID]
		if now.Sub(seen.seen) > freeLifetime {
			seen.since = now
		}
		seen.seen = now
		s.free[server.ID] = seen
		return admission.MayTake(free, admission.Claim{Rank: rank, Weight: digest.Weight(own)}, others, now.Sub(seen.since), patience)
	})
}

// Waiting implements peers.Ledger.
func (s *selector) Waiting() []peers.ServiceWaiting {
	a := s.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	var waiting []peers.ServiceWaiting
	for name, service := range a.services {
		stated := peers.ServiceWaiting{Service: name, Requests: service.list.Len()}
		for rank, count := range service.list.Counts() {
			if count > 0 {
				stated.Rank = rank
				waiting = append(waiting, stated)
				break
			}
		}
	}
	return waiting
}

// ReportWaiting implements peers.Ledger.
func (s *selector) ReportWaiting(instance string, reported []peers.ServiceWaiting) {
	a, now := s.admissions, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, instances := range a.peers {
		delete(instances, instance)
	}
	for _, stated := range reported {
		if a.peers[stated.Service] == nil {
			if len(a.peers) >= maxPeerServices {
				continue
			}
			a.peers[stated.Service] = make(map[string]peerWaiting)
		}
		a.peers[stated.Service][instance] = peerWaiting{
			claim: admission.Claim{Rank: stated.Rank, Waiting: stated.Requests}, digest: rendezvous.DigestOf(instance), receivedAt: now,
		}
	}
}

// maxPeerServices is the maximum number of services of which peers' statements are kept.
const maxPeerServices = 256
