package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// errServerLeaves means that a server became known to leave after it was chosen, and that nothing was sent to it.
var errServerLeaves = fault.New(fault.UpstreamLeaves, "the server leaves")

// openFor returns a connection to a server for a request, as open does. It returns errServerLeaves if the server doesn't take
// the request any more when the connection is open, as takes reports for its current entry.
func (f *Forwarder) openFor(ctx context.Context, j *job, server *directory.Server, timeout time.Duration, reuse bool, takes func(listed *directory.Server) bool) (*upstream.Conn, error) {
	conn, err := f.open(ctx, server, timeout, reuse)
	if err != nil {
		return nil, err
	}
	current := f.directory.Snapshot().Current(server)
	if current != nil && takes(current) {
		return conn, nil
	}
	conn.Close()
	f.meters.count("attempts.server_leaves")
	event.Log(f.logger, event.ServerLeavesUnsent).Str("request", j.request.ID).Str("server", server.ID).Bool("listed", current != nil).Send()
	return nil, errServerLeaves
}

// takesNew reports whether a server takes requests that have not begun anywhere.
func takesNew(listed *directory.Server) bool { return !listed.Draining }

// unopenedCode returns the code of a connection that was not opened, or not used.
func unopenedCode(err error) fault.Code {
	if errors.Is(err, errServerLeaves) {
		return fault.UpstreamLeaves
	}
	return fault.UpstreamUnreachable
}

// unsent reports whether a failure means that no server got any part of the request, so that another attempt takes nothing
// of the bound on second sends.
func unsent(code fault.Code) bool {
	return code == fault.UpstreamUnreachable || code == fault.UpstreamLeaves
}
