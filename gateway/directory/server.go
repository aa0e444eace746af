package directory

import "time"

// Server is one incarnation of a backend server.
type Server struct {
	// ID names the server; a restarted server may have the same one.
	ID string
	// Incarnation is the server's start in Unix milliseconds by its own clock;
	// 0 when it does not say.
	Incarnation int64
	Service     string
	// Address is "ip:port"; it may belong to another server later.
	Address    string
	DataCentre string
	Slots      int
	// Draining servers take no new requests.
	Draining bool
	// DrainingSince is when this instance learned of it.
	DrainingSince time.Time `json:"-"`
	// ColdFor is how long the server is slow after its start.
	ColdFor time.Duration
	// Revision is the store's revision of the entry that says so.
	Revision uint64
	// Adopted servers were found at the address of an earlier one; an entry in
	// the store replaces them.
	Adopted bool
}

// lastUse is how long after it is known that a server leaves a stream may still
// go on there. Users allow three seconds from the entry in the store, and it
// takes an instance up to a second and a half to learn of it.
const lastUse = time.Second

// TakesStreams reports whether a stream that the server ran or keeps a copy of
// may go on there.
func (s *Server) AcceptsResumption(now time.Time) bool {
	return !s.Draining || now.Sub(s.DrainingSince) < lastUse
}

// SameProcess reports whether two entries mean the same running process.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Incarnation == other.Incarnation && s.Address == other.Address
}
