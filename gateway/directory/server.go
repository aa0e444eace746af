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
	// DrainingSince is when this instance received the draining entry.
	DrainingSince time.Time `json:"-"`
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
	// admittedAt is the directory's revision when a held-back entry was admitted.
	admittedAt revision.Revision
}

// drainingGrace is how long after the draining entry was received a stream may still be
// resumed at a server. Users allow three seconds from the entry in the store, and an
// instance receives it up to 1.5 s later.
const drainingGrace = time.Second

// AcceptsResumption reports whether a stream that the server ran, or of which it holds a KV
// cache copy, may be resumed there.
func (s *Server) AcceptsResumption(now time.Time) bool {
	return !s.Draining || now.Sub(s.DrainingSince) < drainingGrace
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
