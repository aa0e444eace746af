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
	// maxTries bounds the attempts of a commit, and the retries of a load.
	maxTries = 4
	// initialBackoff is the wait before the first retry; it doubles with each.
	initialBackoff = 50 * time.Millisecond
	// maxTextBytes bounds the text of a command in the history.
	maxTextBytes = 200
)

// change applies a command to the newest configuration.
func (x *Executor) change(ctx context.Context, execution *execution) operatorapi.Response {
	snapshot, err := x.load(ctx)
	if err != nil {
		return x.handleUnavailablePlatform(ctx, execution, err)
	}
	response := operatorapi.Response{ID: execution.request.ID, ReadRevision: snapshot.Configuration.Revision, Revision: snapshot.Configuration.Revision}
	if applied, found := snapshot.FindCommand(execution.request.ID); found {
		return x.answerRepeat(ctx, execution, response, applied)
	}
	if execution.request.Repeat && !snapshot.HistoryCovers(execution.request.ReadRevision) {
		return x.refuse(execution, response, fault.New(fault.CommandOutcomeUnknown, "the history no longer covers the command; check the configuration"))
	}
	if err := execution.checkRevision(snapshot.Configuration.Revision); err != nil {
		return x.refuse(execution, response, err)
	}
	next, err := command.Change(execution.command, snapshot.Configuration, execution.request.Files)
	if err != nil {
		return x.refuse(execution, response, err)
	}
	response.Result.Table = command.Difference(snapshot.Configuration, next)
	if len(response.Result.Table.Rows) == 0 {
		response.Outcome = operatorapi.Unchanged
		return response
	}
	revision, err := x.commit(ctx, snapshot.Configuration, next, execution)
	if err != nil {
		return x.refuse(execution, response, err)
	}
	response.Outcome, response.Revision = operatorapi.Applied, revision
	x.audit(execution, response)
	return x.awaitInForce(ctx, execution, response)
}

// checkRevision returns CommandConflict when the current revision differs from
// the one that the command requires or, if it requires none, from the one that
// the operator read.
func (r *execution) checkRevision(revision uint64) error {
	required, given, err := r.command.RequiredRevision()
	if err != nil {
		return err
	}
	if !given {
		required, given = r.request.ReadRevision, r.request.ReadRevision != 0
	}
	if given && required != revision {
		cause := &configstore.ConflictError{ReadRevision: required, CurrentRevision: revision}
		return &fault.Error{Code: fault.CommandConflict, Reason: cause.Error(), Cause: cause}
	}
	return nil
}

// commit writes the next configuration. It retries a commit whose answer is
// lost; the id and the revision make the retry safe. Once an answer was lost,
// only an applied change or a conflict determines the outcome.
func (x *Executor) commit(ctx context.Context, base, next *estate.Configuration, execution *execution) (uint64, error) {
	described := configstore.Command{
		ID:       execution.request.ID,
		Digest:   execution.digest(),
		Operator: execution.operator.Name,
		Text:     truncate(execution.command.String()),
		Time:     x.options.Now().UTC(),
	}
	var unknownErr, lastErr error
	for try := range maxTries {
		if try > 0 && !x.options.Pause(ctx, initialBackoff<<(try-1)) {
			break
		}
		revision, err := x.options.Configurations.Commit(ctx, base, next, described)
		switch {
		case err == nil:
			return revision, nil
		case fault.HasCode(err, fault.CommandConflict):
			return 0, err
		case fault.HasCode(err, fault.CommandOutcomeUnknown):
			unknownErr = err
		case unknownErr == nil && !isTransient(err):
			return 0, err
		default:
			lastErr = err
		}
	}
	if unknownErr != nil {
		return 0, unknownErr
	}
	return 0, lastErr
}

// load reads the newest revision. It retries transient failures with
// backoff, such as a used-up budget of platform calls.
func (x *Executor) load(ctx context.Context) (configstore.Snapshot, error) {
	for try := 0; ; try++ {
		snapshot, err := x.options.Configurations.Load(ctx)
		if err == nil || !isTransient(err) || try == maxTries || !x.options.Pause(ctx, initialBackoff<<try) {
			return snapshot, err
		}
	}
}

// isTransient reports whether a failed platform call may succeed when retried:
// the answer to the write of a chunk was lost, or a rate limit was reached.
func isTransient(err error) bool {
	return fault.HasCode(err, fault.PlatformAnswerLost) || fault.HasCode(err, fault.PlatformRateLimited)
}

func truncate(text string) string {
	return text[:min(len(text), maxTextBytes)]
}

// answerRepeat answers a command whose id is already applied. It is rejected if
// the id belongs to a command with another digest.
func (x *Executor) answerRepeat(ctx context.Context, execution *execution, response operatorapi.Response, applied configstore.AppliedCommand) operatorapi.Response {
	if applied.Digest != "" && applied.Digest != execution.digest() {
		return x.refuse(execution, response, fault.New(fault.CommandInvalid, "the id "+applied.ID+" belongs to another command, applied at revision "+strconv.FormatUint(applied.Revision, 10)))
	}
	response.Outcome, response.Revision, response.Repeated = operatorapi.Applied, applied.Revision, true
	return x.awaitInForce(ctx, execution, response)
}

// refuse logs the error of a command and returns the response with its outcome.
func (x *Executor) refuse(execution *execution, response operatorapi.Response, err error) operatorapi.Response {
	response.Result = command.Result{}
	response.Failure = operatorapi.FailureOf(err)
	definition := event.CommandRefused
	var conflict *configstore.ConflictError
	notApplied := fault.HasCode(err, fault.NotApplied)
	switch {
	case fault.HasCode(err, fault.CommandOutcomeUnknown) || (execution.request.Repeat && (notApplied || execution.mayHaveSetLocalDrain())):
		response.Outcome = operatorapi.Unknown
		response.RepeatCommand = operatorapi.RepeatCommand(execution.request.ID, response.ReadRevision, execution.command.String())
		definition = event.CommandUncertain
	case errors.As(err, &conflict):
		response.Outcome = operatorapi.Conflict
		response.ReadRevision, response.Revision = conflict.ReadRevision, conflict.CurrentRevision
	case notApplied:
		response.Outcome = operatorapi.NotApplied
	default:
		response.Outcome = operatorapi.Rejected
	}
	event.Log(x.options.Logger, definition).
		Str("operator", execution.operator.Name).
		Str("command_id", execution.request.ID).
		Str("command", execution.command.String()).
		Str("code", string(response.Failure.Code)).
		Str("reason", response.Failure.Reason).
		Send()
	return response
}

// mayHaveSetLocalDrain reports whether an earlier submission may have set a
// local drain that is written to the platform later.
func (r *execution) mayHaveSetLocalDrain() bool {
	return r.command.Drain != nil && r.command.Drain.Local
}

// audit logs the applied change with its operator and revisions.
func (x *Executor) audit(execution *execution, response operatorapi.Response) {
	event.Log(x.options.Logger, event.CommandApplied).
		Str("operator", execution.operator.Name).
		Str("command_id", response.ID).
		Str("command", execution.command.String()).
		Uint64("revision_before", response.ReadRevision).
		Uint64("revision_after", response.Revision).
		Send()
}

// handleUnavailablePlatform answers a change that could not read the
// configuration. It sets the local drain if the command asks for one, and
// refuses any other change.
func (x *Executor) handleUnavailablePlatform(ctx context.Context, execution *execution, cause error) operatorapi.Response {
	response := operatorapi.Response{ID: execution.request.ID}
	drain := execution.command.Drain
	if drain == nil || !drain.Local || isTransient(cause) {
		return x.refuse(execution, response, fault.Wrap(fault.NotApplied, "operator", "the platform is unavailable: nothing was applied", cause))
	}
	configuration := x.options.Current.Current()
	if configuration == nil {
		return x.refuse(execution, response, fault.New(fault.ConfigurationUnset, "the instance holds no configuration yet"))
	}
	response.ReadRevision, response.Revision = configuration.Revision, configuration.Revision
	if err := execution.checkRevision(configuration.Revision); err != nil {
		return x.refuse(execution, response, err)
	}
	if err := x.checkLocal(drain, configuration); err != nil {
		return x.refuse(execution, response, err)
	}
	localDrain, err := x.options.LocalDrains.Add(dump.LocalDrain{
		Drain:        drain.Object(),
		Undrain:      drain.Undrains(),
		CommandID:    execution.request.ID,
		ReadRevision: configuration.Revision,
		Operator:     execution.operator.Name,
		Digest:       execution.digest(),
		Expires:      x.options.Now().Add(LocalDrainLifetime),
	})
	if err != nil {
		return x.refuse(execution, response, err)
	}
	event.Log(x.options.Logger, event.LocalDrainSet).
		Str("operator", localDrain.Operator).Str("command_id", localDrain.CommandID).Str("command", execution.command.String()).
		Time("expires", localDrain.Expires).Send()
	if x.options.Announcer != nil {
		x.options.Announcer.Announce(localDrain)
	}
	response.Outcome, response.Expires = operatorapi.AppliedLocally, localDrain.Expires
	if !execution.request.Direct {
		direct := execution.request
		direct.Direct = true
		_, pending := x.options.Peers.Command(ctx, execution.operator.Token, x.options.DataCentre, direct)
		response.Propagation = &operatorapi.Propagation{Pending: pending}
	}
	return response
}

// checkLocal refuses objects of other data centres, because a local drain is
// valid in this one only.
func (x *Executor) checkLocal(drain *command.Drain, configuration *estate.Configuration) error {
	if err := drain.Check(configuration); err != nil {
		return err
	}
	name := drain.Name.String()
	if drain.Kind == estate.DrainDataCentre && name != x.options.DataCentre {
		return fault.New(fault.CommandInvalid, "a local drain is valid in data centre "+x.options.DataCentre+" only; send the command to an instance of "+name)
	}
	for _, server := range configuration.BackendServers {
		if drain.Kind == estate.DrainBackendServer && server.Name == name && server.DataCentre != x.options.DataCentre {
			return fault.New(fault.CommandInvalid, "a local drain is valid in data centre "+x.options.DataCentre+" only; send the command to an instance of "+server.DataCentre)
		}
	}
	return nil
}
