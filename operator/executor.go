package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const (
	// maxIDBytes bounds the length of a command id.
	maxIDBytes = 64
	// digestBytes is the length of a command's digest.
	digestBytes = 16
)

// Operator is an authenticated operator.
type Operator struct {
	Name string
	Role settings.Role
	// Token reaches the other instances on the operator's behalf.
	Token string
}

// Executor runs the commands of operators. It is safe for concurrent use.
type Executor struct {
	parts Options
}

// NewExecutor returns an executor.
func NewExecutor(parts Options) *Executor {
	if parts.Now == nil {
		parts.Now = time.Now
	}
	if parts.Pause == nil {
		parts.Pause = pause.For
	}
	return &Executor{parts: parts}
}

// run is one command on its way.
type run struct {
	operator Operator
	request  operatorapi.Request
	command  *command.Command
}

// Execute runs one command to its outcome.
func (x *Executor) Execute(ctx context.Context, operator Operator, request operatorapi.Request) operatorapi.Response {
	parsed, err := command.ParseOne(request.Command)
	if err != nil {
		return rejected(request.ID, err)
	}
	current := &run{operator: operator, request: request, command: parsed}
	if err := current.check(); err != nil {
		return x.refused(current, operatorapi.Response{ID: request.ID}, err)
	}
	switch {
	case parsed.IsChange():
		return x.change(ctx, current)
	case parsed.Release != nil:
		return x.release(ctx, current)
	default:
		return x.answer(ctx, current)
	}
}

// check refuses what the role does not allow and ids that can't be kept.
func (r *run) check() error {
	if !allows(r.operator.Role, r.command.Role()) {
		return fault.New(fault.CommandForbidden, "the command needs the role "+string(r.command.Role())+"; operator "+r.operator.Name+" has "+string(r.operator.Role))
	}
	if r.command.IsChange() && (r.request.ID == "" || len(r.request.ID) > maxIDBytes) {
		return fault.Invalid("id", "a change needs an id of 1 to 64 bytes")
	}
	return nil
}

// allows reports whether a role includes another.
func allows(has, needed settings.Role) bool {
	order := map[settings.Role]int{settings.RoleRead: 1, settings.RoleOperate: 2, settings.RoleAdmit: 3}
	return order[has] >= order[needed] && order[needed] > 0
}

// digest identifies the command with its files.
func (r *run) digest() string {
	hash := sha256.New()
	hash.Write([]byte(r.command.String()))
	for _, file := range r.request.Files {
		hash.Write([]byte("\x00" + file.Name + "\x00"))
		hash.Write(file.Content)
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

func rejected(id string, err error) operatorapi.Response {
	return operatorapi.Response{ID: id, Outcome: operatorapi.Rejected, Failure: operatorapi.FailureOf(err)}
}

// answer answers a question from the configuration in force.
func (x *Executor) answer(ctx context.Context, current *run) operatorapi.Response {
	source := command.Source{Configuration: x.parts.Current.Current()}
	switch {
	case current.command.Explain != nil:
		source.Status = x.parts.Peers.DumpsAbout(ctx, current.operator.Token, current.command.Explain.ID.String())
	case current.command.NeedsStatus():
		source.Status = x.parts.Peers.Dumps(ctx, current.operator.Token, 0)
	}
	if current.command.NeedsHistory() {
		snapshot, err := x.parts.Configurations.Load(ctx)
		if err != nil {
			return rejected(current.request.ID, err)
		}
		source.History = snapshot.History
	}
	result, err := command.Query(current.command, source, current.request.Files)
	if err != nil {
		return rejected(current.request.ID, err)
	}
	response := operatorapi.Response{ID: current.request.ID, Outcome: operatorapi.Answered, Result: result}
	if source.Configuration != nil {
		response.ReadRevision = source.Configuration.Revision
		response.Revision = source.Configuration.Revision
	}
	return response
}

// release lifts a quarantine on every instance.
func (x *Executor) release(ctx context.Context, current *run) operatorapi.Response {
	err := x.parts.Quarantines.Release(strings.ToLower(current.command.Release.Fingerprint.String()))
	if err != nil && (current.request.Direct || !fault.HasCode(err, fault.NotFound)) {
		return rejected(current.request.ID, err)
	}
	response := operatorapi.Response{ID: current.request.ID, Outcome: operatorapi.Released}
	if current.request.Direct {
		return response
	}
	direct := current.request
	direct.Direct = true
	taken, pending := x.parts.Peers.Command(ctx, current.operator.Token, "", direct)
	if err != nil && taken == 0 && len(pending) == 0 {
		return rejected(current.request.ID, err)
	}
	response.Propagation = &operatorapi.Propagation{Pending: pending}
	event.Log(x.parts.Logger, event.QuarantineLifted).
		Str("operator", current.operator.Name).
		Str("command_id", current.request.ID).
		Str("command", current.command.String()).
		Int("instances_pending", len(pending)).
		Send()
	return response
}
