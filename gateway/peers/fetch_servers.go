package peers

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// completeListSpacing is the minimum time between two complete lists of servers from peers, and the time after which a peer is
// asked again although neither list has changed.
const completeListSpacing = 10 * time.Second

func (s *Service) fetchServers(source fetchSource) error {
	export, changed, err := s.importServers(source, s.fetchPosition(source))
	if err != nil {
		return err
	}
	if s.needsCompleteList(source, &export) {
		if export, changed, err = s.importServers(source, 0); err != nil {
			return err
		}
	}
	s.recordServerFetch(time.Now(), source, &export)
	event.Log(s.options.Logger, event.PeerServersReceived).Str("peer", source.instance).Int("changed", changed).
		Int("servers", len(s.options.Directory.Snapshot().All)).Stringer("revision", export.Revision).Stringer("as_of", export.AsOf).Send()
	return nil
}

// fetchPosition returns the revision after which changes are fetched from a peer. A peer of an older build counts by the
// revision of its last change.
func (s *Service) fetchPosition(source fetchSource) revision.Revision {
	if source.listed {
		return s.options.Directory.AsOf()
	}
	return s.options.Directory.Revision()
}

// importServers fetches and applies the changes of the servers after a revision, and returns them
// and their number.
func (s *Service) importServers(source fetchSource, after revision.Revision) (export directory.Export, changed int, err error) {
	begun := time.Now()
	if export, err = s.readServers(source, after); err != nil {
		return export, 0, err
	}
	export.UnderWay = time.Since(begun)
	changed, unlisted := s.options.Directory.Import(export)
	s.options.Follower.ExpectAgain(unlisted)
	return export, changed, nil
}

// getServers reads the changes of the servers after a revision from a peer.
func (s *Service) getServers(source fetchSource, after revision.Revision) (export directory.Export, err error) {
	body, err := s.get(source.address, serversPath+"?after="+strconv.FormatUint(uint64(after), 10))
	if err != nil {
		return export, err
	}
	if err := json.Unmarshal(body, &export); err != nil {
		return export, fault.Wrap(fault.PeerMessage, "peers", "decode servers", err)
	}
	return export, nil
}

// exportServers returns the changes of the servers after a revision for a peer.
func (s *Service) exportServers(after revision.Revision) directory.Export {
	return s.options.Directory.Export(after)
}

// needsCompleteList reports whether the servers still differ from those of a relay after its
// changes were applied: it may never have had an entry that was removed before it started.
// Servers that this instance adopted make them differ for a while without that.
func (s *Service) needsCompleteList(source fetchSource, export *directory.Export) bool {
	snapshot := s.options.Directory.Snapshot()
	adopted := slices.ContainsFunc(snapshot.All, func(server *directory.Server) bool { return server.Adopted })
	if export.Complete || !source.relay || adopted || snapshot.Fingerprint == export.Fingerprint {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.completeListAt) < completeListSpacing {
		return false
	}
	s.completeListAt = now
	return true
}

// recordServerFetch records what was fetched from a peer, and when it is asked again if the lists differ nevertheless.
func (s *Service) recordServerFetch(now time.Time, source fetchSource, export *directory.Export) {
	fetched := serverFetch{theirs: export.Fingerprint, own: s.options.Directory.Snapshot().Fingerprint, repeatAt: now.Add(completeListSpacing)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.update(source, func(p *peer) { p.lastFetch = fetched })
}
