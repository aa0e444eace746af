package snapshot

import (
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Server is one backend server of a snapshot.
type Server struct {
	estate.BackendServer
	Region string
	// Drained means that the configuration keeps new work away.
	Drained bool
	// Digest is the digest of the server's name.
	Digest rendezvous.Digest
}
