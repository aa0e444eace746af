package ctl

import (
	"net/http"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// The exit codes of ctl.
const (
	// ExitOK means that a question was answered or a change applied.
	ExitOK = 0
	// ExitFailure means that no instance answered, or another failure.
	ExitFailure = 1
	// ExitUsage means a wrong command line, syntax, settings or estate file.
	ExitUsage = 2
	// ExitConflict means that the configuration changed since it was read.
	ExitConflict = 3
	// ExitNotApplied means that the platform is away and nothing was applied.
	ExitNotApplied = 4
	// ExitUnknown means that the change may have been applied.
	ExitUnknown = 5
	// ExitRejected means that the command is invalid or not allowed.
	ExitRejected = 6
	// ExitPending means that the change is applied and not yet in force on
	// every instance after --wait.
	ExitPending = 7
)

// ExitCodes describes the exit codes for help.
const ExitCodes = "Exit codes: 0 answered or applied, 1 failure, 2 wrong usage or syntax, 3 conflict, " +
	"4 not applied, 5 outcome unknown, 6 rejected, 7 applied and not yet in force everywhere."

// exitOfRejected tells what is wrong with the command from what is wrong with
// the system.
func exitOfRejected(failure *operatorapi.Failure) int {
	switch {
	case failure == nil:
		return ExitRejected
	case failure.Code == fault.CommandSyntax:
		return ExitUsage
	case fault.Lookup(failure.Code).Status >= http.StatusInternalServerError:
		return ExitFailure
	default:
		return ExitRejected
	}
}

// exitOf returns the exit code of a response.
func exitOf(response operatorapi.Response) int {
	switch response.Outcome {
	case operatorapi.Conflict:
		return ExitConflict
	case operatorapi.NotApplied:
		return ExitNotApplied
	case operatorapi.Unknown:
		return ExitUnknown
	case operatorapi.Rejected:
		return exitOfRejected(response.Failure)
	}
	if response.Propagation != nil && len(response.Propagation.Pending) > 0 {
		return ExitPending
	}
	return ExitOK
}
