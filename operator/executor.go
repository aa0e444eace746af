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
	// Token authenticates requests to other instances on the operator's behalf.
	Token string
}

// Executor executes the commands of operators. It is safe for concurrent use.
type Executor struct {
	options Options
}

// NewExecutor returns an executor with the given dependencies.
func NewExecutor(options Options) *Executor {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Pause == nil {
		options.Pause = pause.For
	}
	return &Executor{options: options}
}

// execution is one command being executed.
type execution struct {
	operator Operator
	request  operatorapi.Request
	command  *command.Command
}

// Execute executes one command and returns its outcome.
func (x *Executor) Execute(ctx context.Context, operator Operator, request operatorapi.Request) operatorapi.Response {
	parsed, err := command.ParseOne(request.Command)
	if err != nil {
		return rejected(request.ID, err)
	}
	execution := &execution{operator: operator, request: request, command: parsed}
	if err := execution.check(); err != nil {
		return x.refuse(execution, operatorapi.Response{ID: request.ID}, err)
	}
	switch {
	case parsed.IsChange():
		return x.change(ctx, execution)
	case parsed.Release != nil:
		return x.release(ctx, execution)
	default:
		return x.answer(ctx, execution)
	}
}

// check returns CommandForbidden when the operator's role does not allow the
// command, and Invalid when a change has no id or one that is too long to store.
func (r *execution) check() error {
	if !allows(r.operator.Role, r.command.Role()) {
		return fault.New(fault.CommandForbidden, "the command needs the role "+string(r.command.Role())+"; operator "+r.operator.Name+" has "+string(r.operator.Role))
	}
	if r.command.IsChange() && (r.request.ID == "" || len(r.request.ID) > maxIDBytes) {
		return fault.Invalid("id", "a change needs an id of 1 to 64 bytes")
	}
	return nil
}

// allows reports whether a role includes the needed one.
func allows(has, needed settings.Role) bool {
	order := map[settings.Role]int{settings.RoleRead: 1, settings.RoleOperate: 2, settings.RoleAdmit: 3}
	return order[has] >= order[needed] && order[needed] > 0
}

// digest returns a hash of the command and its files.
func (r *execution) digest() string {
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

// answer answers a query from the in-force configuration.
func (x *Executor) answer(ctx context.Context, execution *execution) operatorapi.Response {
	source := command.Source{Configuration: x.options.Current.Current()}
	switch {
	case execution.command.Explain != nil:
		source.Status = x.options.Peers.DumpsAbout(ctx, execution.operator.Token, execution.command.Explain.ID.String())
	case execution.command.NeedsStatus():
		source.Status = x.options.Peers.Dumps(ctx, execution.operator.Token, 0)
	}
	if execution.command.NeedsHistory() {
		snapshot, err := x.options.Configurations.Load(ctx)
		if err != nil {
			return rejected(execution.request.ID, err)
		}
		source.History = snapshot.History
	}
	result, err := command.Query(execution.command, source, execution.request.Files)
	if err != nil {
		return rejected(execution.request.ID, err)
	}
	response := operatorapi.Response{ID: execution.request.ID, Outcome: operatorapi.Answered, Result: result}
	if source.Configuration != nil {
		response.ReadRevision = source.Configuration.Revision
		response.Revision = source.Configuration.Revision
	}
	return response
}

// release lifts a quarantine on every instance.
func (x *Executor) release(ctx context.Context, execution *execution) operatorapi.Response {
	err := x.options.Quarantines.Release(strings.ToLower(execution.command.Release.Fingerprint.String()))
	if err != nil && (execution.request.Direct || !fault.HasCode(err, fault.NotFound)) {
		return rejected(execution.request.ID, err)
	}
	response := operatorapi.Response{ID: execution.request.ID, Outcome: operatorapi.Released}
	if execution.request.Direct {
		return response
	}
	direct := execution.request
	direct.Direct = true
	accepted, pending := x.options.Peers.Command(ctx, execution.operator.Token, "", direct)
	if err != nil && accepted == 0 && len(pending) == 0 {
		return rejected(execution.request.ID, err)
	}
	response.Propagation = &operatorapi.Propagation{Pending: pending}
	event.Log(x.options.Logger, event.QuarantineLifted).
		Str("operator", execution.operator.Name).
		Str("command_id", execution.request.ID).
		Str("command", execution.command.String()).
		Int("instances_pending", len(pending)).
		Send()
	return response
}
