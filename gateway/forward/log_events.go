package forward

import (
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// requestSentEvent returns the log event of a request that is sent to a server,
// to be completed and sent by the caller.
func (f *Forwarder) requestSentEvent(j *job, server *directory.Server) *zerolog.Event {
	return event.Log(f.logger, event.RequestSent).Str("request", j.request.ID).Stringer("content", j.run.Request).Str("server", server.ID).
		Str("data_centre", server.DataCentre).Str("software_version", server.SoftwareVersion).Int("sends", j.sends).
		Uint64("version", j.table.Version).Stringer("server_revision", server.Revision).
		Bool("leaves", f.directory.Snapshot().Leaves(server)).Dur("left_ms", j.remaining())
}

// attemptFailedEvent returns the log event of a failed attempt, for the caller to send.
func (f *Forwarder) attemptFailedEvent(j *job, server *directory.Server, code fault.Code, notRun bool, cause error) *zerolog.Event {
	return event.Log(f.logger, event.AttemptFailed).Str("request", j.request.ID).Str("server", server.ID).
		Str("code", string(code)).Bool("not_run", notRun).Int("sends", j.sends).AnErr("cause", cause)
}
