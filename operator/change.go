package operator

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

const (
	// settleTries is how often a commit with a lost answer is repeated.
	settleTries = 4
	// settlePause is the wait before the first repeat; it doubles.
	settlePause = 50 * time.Millisecond
	// maxTextBytes bounds the text of a command in the history.
	maxTextBytes = 200
)

// change applies a command to the newest configuration.
func (x *Executor) change(ctx context.Context, current *run) operatorapi.Response {
	snapshot, err := x.load(ctx)
	if err != nil {
		return x.platformAway(ctx, current, err)
	}
	response := operatorapi.Response{ID: current.request.ID, ReadRevision: snapshot.Configuration.Revision, Revision: snapshot.Configuration.Revision}
	if applied, found := snapshot.FindCommand(current.request.ID); found {
		return x.repeated(ctx, current, response, applied)
	}
	if current.request.Repeat && !snapshot.HistoryCovers(current.request.ReadRevision) {
		return x.refused(current, response, fault.New(fault.CommandOutcomeUnknown, "the history no longer reaches back to the command; look at the configuration"))
	}
	if err := current.checkRevision(snapshot.Configuration.Revision); err != nil {
		return x.refused(current, response, err)
	}
	next, err := command.Change(current.command, snapshot.Configuration, current.request.Files)
	if err != nil {
		return x.refused(current, response, err)
	}
	response.Result.Table = command.Difference(snapshot.Configuration, next)
	if len(response.Result.Table.Rows) == 0 {
		response.Outcome = operatorapi.Unchanged
		return response
	}
	revision, err := x.commit(ctx, snapshot.Configuration, next, current)
	if err != nil {
		return x.refused(current, response, err)
	}
	response.Outcome, response.Revision = operatorapi.Applied, revision
	x.audit(current, response)
	return x.awaitInForce(ctx, current, response)
}

// checkRevision compares the current revision with the one that the operator
// read and the one that the command demands.
func (r *run) checkRevision(revision uint64) error {
	demanded, given, err := r.command.RequiredRevision()
	if err != nil {
		return err
	}
	if !given {
		demanded, given = r.request.ReadRevision, r.request.ReadRevision != 0
	}
	if given && demanded != revision {
		cause := &configstore.ConflictError{ReadRevision: demanded, CurrentRevision: revision}
		return &fault.Error{Code: fault.CommandConflict, Reason: cause.Error(), Cause: cause}
	}
	return nil
}

// commit writes the next configuration. A commit whose answer is lost is
// repeated: the id and the revision make the repeat safe. Once an answer was
// lost, only an applied change or a conflict settles the outcome.
func (x *Executor) commit(ctx context.Context, base, next *estate.Configuration, current *run) (uint64, error) {
	described := configstore.Command{
		ID:       current.request.ID,
		Digest:   current.digest(),
		Operator: current.operator.Name,
		Text:     shorten(current.command.String()),
		Time:     x.parts.Now().UTC(),
	}
	var lost, failed error
	for try := range settleTries {
		if try > 0 && !x.parts.Pause(ctx, settlePause<<(try-1)) {
			break
		}
		revision, err := x.parts.Configurations.Commit(ctx, base, next, described)
		switch {
		case err == nil:
			return revision, nil
		case fault.HasCode(err, fault.CommandConflict):
			return 0, err
		case fault.HasCode(err, fault.CommandOutcomeUnknown):
			lost = err
		case lost == nil && !passing(err):
			return 0, err
		default:
			failed = err
		}
	}
	if lost != nil {
		return 0, lost
	}
	return 0, failed
}

// load reads the newest revision; it waits a little for the budget of platform
// calls.
func (x *Executor) load(ctx context.Context) (configstore.Snapshot, error) {
	for try := 0; ; try++ {
		snapshot, err := x.parts.Configurations.Load(ctx)
		if err == nil || !passing(err) || try == settleTries || !x.parts.Pause(ctx, settlePause<<try) {
			return snapshot, err
		}
	}
}

// passing reports whether a call that failed is worth a repeat: the answer to
// the write of a chunk was lost, or a rate was reached.
func passing(err error) bool {
	return fault.HasCode(err, fault.PlatformAnswerLost) || fault.HasCode(err, fault.PlatformRateLimited)
}

func shorten(text string) string {
	return text[:min(len(text), maxTextBytes)]
}

// repeated answers a command whose id was applied before.
func (x *Executor) repeated(ctx context.Context, current *run, response operatorapi.Response, applied configstore.AppliedCommand) operatorapi.Response {
	if applied.Digest != "" && applied.Digest != current.digest() {
		return x.refused(current, response, fault.New(fault.CommandInvalid, "the id "+applied.ID+" belongs to another command, applied at revision "+strconv.FormatUint(applied.Revision, 10)))
	}
	response.Outcome, response.Revision, response.Repeated = operatorapi.Applied, applied.Revision, true
	return x.awaitInForce(ctx, current, response)
}

// refused turns an error into its outcome.
func (x *Executor) refused(current *run, response operatorapi.Response, err error) operatorapi.Response {
	response.Result = command.Result{}
	response.Failure = operatorapi.FailureOf(err)
	definition := event.CommandRefused
	var conflict *configstore.ConflictError
	notApplied := fault.HasCode(err, fault.NotApplied)
	switch {
	case fault.HasCode(err, fault.CommandOutcomeUnknown) || (current.request.Repeat && (notApplied || current.mayBeMarked())):
		response.Outcome = operatorapi.Unknown
		response.RepeatCommand = operatorapi.RepeatCommand(current.request.ID, response.ReadRevision, current.command.String())
		definition = event.CommandUncertain
	case errors.As(err, &conflict):
		response.Outcome = operatorapi.Conflict
		response.ReadRevision, response.Revision = conflict.ReadRevision, conflict.CurrentRevision
	case notApplied:
		response.Outcome = operatorapi.NotApplied
	default:
		response.Outcome = operatorapi.Rejected
	}
	event.Log(x.parts.Logger, definition).
		Str("operator", current.operator.Name).
		Str("command_id", current.request.ID).
		Str("command", current.command.String()).
		Str("code", string(response.Failure.Code)).
		Str("reason", response.Failure.Reason).
		Send()
	return response
}

// mayBeMarked reports whether an earlier submission may have left a local mark
// that is written later.
func (r *run) mayBeMarked() bool {
	return r.command.Drain != nil && r.command.Drain.Local
}

// audit logs who changed what.
func (x *Executor) audit(current *run, response operatorapi.Response) {
	event.Log(x.parts.Logger, event.CommandApplied).
		Str("operator", current.operator.Name).
		Str("command_id", response.ID).
		Str("command", current.command.String()).
		Uint64("revision_before", response.ReadRevision).
		Uint64("revision_after", response.Revision).
		Send()
}

// platformAway refuses a change that could not read the configuration; a local
// drain becomes a mark of this data centre.
func (x *Executor) platformAway(ctx context.Context, current *run, cause error) operatorapi.Response {
	response := operatorapi.Response{ID: current.request.ID}
	drain := current.command.Drain
	if drain == nil || !drain.Local || passing(cause) {
		return x.refused(current, response, fault.Wrap(fault.NotApplied, "operator", "the platform is away: nothing was applied", cause))
	}
	configuration := x.parts.Current.Current()
	if configuration == nil {
		return x.refused(current, response, fault.New(fault.ConfigurationUnset, "the instance holds no configuration yet"))
	}
	response.ReadRevision, response.Revision = configuration.Revision, configuration.Revision
	if err := current.checkRevision(configuration.Revision); err != nil {
		return x.refused(current, response, err)
	}
	if err := x.checkLocal(drain, configuration); err != nil {
		return x.refused(current, response, err)
	}
	mark, err := x.parts.LocalDrains.Add(dump.LocalDrain{
		Drain:        drain.Object(),
		Undrain:      drain.Undrains(),
		CommandID:    current.request.ID,
		ReadRevision: configuration.Revision,
		Operator:     current.operator.Name,
		Digest:       current.digest(),
		Expires:      x.parts.Now().Add(LocalDrainLifetime),
	})
	if err != nil {
		return x.refused(current, response, err)
	}
	event.Log(x.parts.Logger, event.LocalDrainSet).
		Str("operator", mark.Operator).Str("command_id", mark.CommandID).Str("command", current.command.String()).
		Time("expires", mark.Expires).Send()
	if x.parts.Announcer != nil {
		x.parts.Announcer.Announce(mark)
	}
	response.Outcome, response.Expires = operatorapi.AppliedLocally, mark.Expires
	if !current.request.Direct {
		direct := current.request
		direct.Direct = true
		_, pending := x.parts.Peers.Command(ctx, current.operator.Token, x.parts.DataCentre, direct)
		response.Propagation = &operatorapi.Propagation{Pending: pending}
	}
	return response
}

// checkLocal refuses objects of other data centres: a mark holds in this one
// alone.
func (x *Executor) checkLocal(drain *command.Drain, configuration *estate.Configuration) error {
	if err := drain.Check(configuration); err != nil {
		return err
	}
	name := drain.Name.String()
	if drain.Kind == estate.DrainDataCentre && name != x.parts.DataCentre {
		return fault.New(fault.CommandInvalid, "a local mark holds in data centre "+x.parts.DataCentre+" alone; send the command to an instance of "+name)
	}
	for _, server := range configuration.BackendServers {
		if drain.Kind == estate.DrainBackendServer && server.Name == name && server.DataCentre != x.parts.DataCentre {
			return fault.New(fault.CommandInvalid, "a local mark holds in data centre "+x.parts.DataCentre+" alone; send the command to an instance of "+server.DataCentre)
		}
	}
	return nil
}
