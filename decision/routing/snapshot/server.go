package snapshot

import (
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// Server is one backend server of a snapshot.
type Server struct {
	estate.BackendServer
	Region string
	// Drained means that a drain of the server or of its data centre in the
	// configuration excludes it from new work.
	Drained bool
	// Digest is the rendezvous digest of the server's name.
	Digest rendezvous.Digest
}
