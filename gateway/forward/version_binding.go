package forward

import (
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
)

// versionBinding is the software version at which a stream continues. The zero value binds to none,
// as before the first event.
type versionBinding struct {
	bound bool
	// version is empty when the version is unknown that the stream is bound to: then no server
	// may continue it.
	version string
	// choice restricts a request that is not bound while its service moves to another version.
	choice rollouts.Choice
}

// bindTo returns the binding of a stream that a server began.
func bindTo(server *directory.Server) versionBinding {
	return versionBinding{bound: true, version: server.SoftwareVersion}
}

// admits reports whether a stream with this binding may run at a server.
func (b versionBinding) admits(server *directory.Server) bool {
	if !b.bound {
		return b.choice.Admits(server)
	}
	return b.version != "" && server.SoftwareVersion == b.version
}
