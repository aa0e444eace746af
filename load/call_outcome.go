package load

import "github.com/wisteriahaven/wisteriahaven/fault"

// CallOutcome is the outcome of one call as its caller saw it.
type CallOutcome struct {
	Answered bool
	// Code and Execution describe the failure of a call that got no answer.
	Code      fault.Code
	Execution fault.Execution
}
