package peers

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

const (
	// leavingAnnounceTime is how long digests to peers hold a server that leaves.
	leavingAnnounceTime = 4 * time.Second
	// maxLeavingServers is the maximum number of leaving servers in a digest; the oldest are dropped.
	maxLeavingServers = 32
)

// announcedLeaving is a leaving server that digests hold until a time.
type announcedLeaving struct {
	server LeavingServer
	until  time.Time
}

// AnnounceLeaving tells peers that a server stated that it leaves: some at once, all others with
// the digests of the next seconds.
func (s *Service) AnnounceLeaving(server *directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingServers = append(s.leavingServers, announcedLeaving{
		server: LeavingServer{Server: server.ID, Address: server.Address, Incarnation: server.Incarnation},
		until:  time.Now().Add(leavingAnnounceTime),
	})
	if excess := len(s.leavingServers) - maxLeavingServers; excess > 0 {
		s.leavingServers = slices.Delete(s.leavingServers, 0, excess)
	}
	s.sendToSample(nil, maxLocalFailurePeers, maxRemoteFailurePeers)
}

// currentLeaving returns the leaving servers that a digest holds now; mu is held.
func (s *Service) currentLeaving(now time.Time) []LeavingServer {
	s.leavingServers = slices.DeleteFunc(s.leavingServers, func(l announcedLeaving) bool { return !now.Before(l.until) })
	var current []LeavingServer
	for _, announced := range s.leavingServers {
		current = append(current, announced.server)
	}
	return current
}

// recordLeaving marks the servers that a peer reports as leaving.
func (s *Service) recordLeaving(reported []LeavingServer) {
	for _, leaving := range reported {
		s.options.Directory.MarkLeaving(&directory.Server{ID: leaving.Server, Address: leaving.Address, Incarnation: leaving.Incarnation})
	}
}
