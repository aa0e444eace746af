package directory

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// Server is the entry of one incarnation of a backend server.
type Server struct {
	// ID identifies the server; a restarted server may have the same ID.
	ID string
	// Incarnation is the server's start in Unix milliseconds by its own clock, 0 when
	// the server does not report it.
	Incarnation int64
	Service     string
	// Address is "ip:port"; it may belong to another server later.
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the server's software, not of the model's weights; empty
	// when unknown.
	SoftwareVersion string
	Slots           int
	// Draining servers take no new requests.
	Draining bool
	// DrainingSince is when this instance received the draining entry, DrainingWrittenAfter a time before which it was not
	// written; zero when unknown.
	DrainingSince        time.Time `json:"-"`
	DrainingWrittenAfter time.Time `json:"-"`
	// DrainingFor is the time since DrainingWrittenAfter in an export, 0 in those of older builds.
	DrainingFor time.Duration `json:",omitempty"`
	// ColdFor is how long the server is slow after its start.
	ColdFor time.Duration
	// Revision is the store's revision of this entry.
	Revision revision.Revision
	// Adopted servers were found at the address of an earlier server; their entry in
	// the store replaces this one.
	Adopted bool
	// Leaving is set when the server itself stated in an answer that it leaves. It is then
	// Draining whatever the store says, until another process has its id.
	Leaving bool
	// AdoptedAt is when an adopted server was adopted or received from a peer.
	AdoptedAt time.Time `json:"-"`
	// admittedAt is the directory's position when a held-back entry was admitted.
	admittedAt revision.Revision
}

const (
	// drainingGrace is how long after the draining entry was received a stream may still be resumed at a server.
	drainingGrace = time.Second
	// resumptionTime is the same from when the entry was written, however late it was received. Users allow three seconds
	// for a request to arrive, and a connection takes up to 350 ms to open.
	resumptionTime = 2500 * time.Millisecond
	// unknownDrainingAge is the assumed age of an entry from a peer that does not state it.
	unknownDrainingAge = 1500 * time.Millisecond
)

// AcceptsResumption reports whether a stream that the server ran, or of which it holds a KV
// cache copy, may be resumed there.
func (s *Server) AcceptsResumption(now time.Time) bool {
	return !s.Draining || (now.Sub(s.DrainingSince) < drainingGrace && now.Sub(s.DrainingWrittenAfter) < resumptionTime)
}

// exported returns the server with its DrainingFor.
func (s *Server) exported(now time.Time) *Server {
	if !s.Draining {
		return s
	}
	copied := *s
	copied.DrainingFor = max(1, min(resumptionTime, now.Sub(s.DrainingWrittenAfter)))
	return &copied
}

// writtenAfter returns DrainingWrittenAfter for an exported server that was under way for at most a time.
func (s *Server) writtenAfter(now time.Time, underWay time.Duration) time.Time {
	if s.DrainingFor <= 0 {
		return now.Add(-unknownDrainingAge)
	}
	return now.Add(-s.DrainingFor - underWay)
}

// SameProcess reports whether two entries describe the same running process.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Incarnation == other.Incarnation && s.Address == other.Address
}

// precedes reports whether the entry's process was started before that of another entry.
func (s *Server) precedes(other *Server) bool {
	return s.Incarnation != 0 && s.Incarnation < other.Incarnation
}

// MayBeSameProcess is SameProcess that takes a missing incarnation for the same one.
func (s *Server) MayBeSameProcess(other *Server) bool {
	known := s.Incarnation != 0 && other.Incarnation != 0
	return s.ID == other.ID && s.Address == other.Address && (!known || s.Incarnation == other.Incarnation)
}
