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

const (
	// completeListSpacing is the minimum time between two complete lists of servers from peers, and the time after which a
	// peer is asked again although neither list has changed.
	completeListSpacing = 10 * time.Second
	// adoptedServerSpacing replaces it while servers are listed that were adopted: by then their entries are written.
	adoptedServerSpacing = 2500 * time.Millisecond
	// namesBytesPerSecond bounds what an instance reads of the names of all servers, of compressedNameBytes each.
	namesBytesPerSecond = 4 << 10
	compressedNameBytes = 8
)

// fetchServers reads the changes of the servers from a peer. Where the lists differ nevertheless, it reads the names of the
// peer's servers, which show what was removed, and then the complete list, which holds what is missing here.
func (s *Service) fetchServers(source fetchSource) error {
	export, changed, err := s.importServers(source, s.fetchPosition(source), false)
	if err == nil && s.needsNames(time.Now(), source, &export) {
		export, changed, err = s.importServers(source, s.fetchPosition(source), true)
	}
	if err == nil && s.needsCompleteList(time.Now(), source, &export) {
		export, changed, err = s.importServers(source, 0, false)
	}
	if err != nil {
		return err
	}
	s.recordServerFetch(time.Now(), source, &export)
	event.Log(s.options.Logger, event.PeerServersReceived).Str("peer", source.instance).Int("changed", changed).
		Int("servers", len(s.options.Directory.Snapshot().All)).Stringer("revision", export.Revision).Stringer("as_of", export.AsOf).
		Bool("names_all", export.NamesAll).Send()
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
// and their number. With naming the peer also names all its servers.
func (s *Service) importServers(source fetchSource, after revision.Revision, naming bool) (export directory.Export, changed int, err error) {
	begun := time.Now()
	if export, err = s.readServers(source, after, naming); err != nil {
		return export, 0, err
	}
	now := time.Now()
	export.UnderWay = now.Sub(begun)
	before := s.options.Directory.AsOf()
	changed, unlisted := s.options.Directory.Import(export)
	s.options.Follower.ExtendGrace(now, export.GraceLeft)
	if before > 0 && export.AsOf.Era() > before.Era() {
		s.options.Follower.RecordReturn(now)
	}
	if !export.NamesAll {
		s.options.Follower.ExpectAgain(unlisted)
		return export, changed, nil
	}
	s.options.Follower.RemoveUnlisted(unlisted, export.AsOf)
	return export, changed + len(unlisted), nil
}

// getServers reads the changes of the servers after a revision from a peer.
func (s *Service) getServers(source fetchSource, after revision.Revision, naming bool) (export directory.Export, err error) {
	target := serversPath + "?after=" + strconv.FormatUint(uint64(after), 10)
	if naming {
		target += "&" + namingParameter + "=1"
	}
	body, err := s.get(source.address, target)
	if err != nil {
		return export, err
	}
	if err := json.Unmarshal(body, &export); err != nil {
		return export, fault.Wrap(fault.PeerMessage, "peers", "decode servers", err)
	}
	return export, nil
}

// exportServers returns the changes of the servers after a revision for a peer.
func (s *Service) exportServers(after revision.Revision, naming bool) directory.Export {
	read := s.options.Directory.Export
	if naming {
		read = s.options.Directory.ExportNaming
	}
	export := read(after)
	export.GraceLeft = s.options.Follower.GraceLeft(time.Now())
	return export
}

// differs reports whether the servers differ from those of an export that was applied.
func (s *Service) differs(export *directory.Export) bool {
	return s.options.Directory.Snapshot().Fingerprint != export.Fingerprint
}

// needsNames reports whether the names of a peer's servers are to be read now: the servers still differ after its changes were
// applied, and its list is the later one. An entry may have been removed before the peer's process started, or the
// removal be recorded at a revision that is known here.
func (s *Service) needsNames(now time.Time, source fetchSource, export *directory.Export) bool {
	own := s.options.Directory.AsOf()
	later := export.AsOf > own || source.relay && export.AsOf == own
	if export.NamesAll || !source.listed || !later || !s.differs(export) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.namesAfter)
}

// needsCompleteList reports whether the servers still differ from those of a relay after its
// changes were applied, so that an entry is missing here.
// Servers that this instance adopted make them differ for a while without that.
func (s *Service) needsCompleteList(now time.Time, source fetchSource, export *directory.Export) bool {
	if export.Complete || !source.relay || s.hasAdopted() || !s.differs(export) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.completeListAt) < completeListSpacing {
		return false
	}
	s.completeListAt = now
	return true
}

func (s *Service) hasAdopted() bool {
	return slices.ContainsFunc(s.options.Directory.Snapshot().All, func(server *directory.Server) bool { return server.Adopted })
}

// recordServerFetch records what was fetched from a peer, and when it is asked again if the lists differ nevertheless.
func (s *Service) recordServerFetch(now time.Time, source fetchSource, export *directory.Export) {
	own, repeatAt := s.options.Directory.Snapshot().Fingerprint, now.Add(completeListSpacing)
	if s.hasAdopted() {
		repeatAt = now.Add(adoptedServerSpacing)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if export.NamesAll {
		bytes := compressedNameBytes * len(export.Named)
		s.namesAfter = now.Add(time.Duration(bytes) * time.Second / namesBytesPerSecond)
	}
	if !export.NamesAll && s.namesAfter.After(now) {
		repeatAt = s.namesAfter
	}
	s.table.update(source, func(p *peer) {
		p.lastFetch = serverFetch{theirs: export.Fingerprint, own: own, repeatAt: repeatAt}
	})
}
