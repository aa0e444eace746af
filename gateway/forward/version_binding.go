package forward

import "github.com/wisteriahaven/wisteriahaven/gateway/directory"

// versionBinding is the software version at which a stream continues. The zero value binds to none,
// as before the first event.
type versionBinding struct {
	bound bool
	// version is empty when the version is unknown that the stream is bound to: then no server
	// may continue it.
	version string
}

// bindTo returns the binding of a stream that a server began.
func bindTo(server *directory.Server) versionBinding {
	return versionBinding{bound: true, version: server.SoftwareVersion}
}

// admits reports whether a stream with this binding may run at a server.
func (b versionBinding) admits(server *directory.Server) bool {
	return !b.bound || (b.version != "" && server.SoftwareVersion == b.version)
}
