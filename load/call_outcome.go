package load

import "github.com/wisteriahaven/wisteriahaven/fault"

// CallOutcome is the last answer that the caller got for one key.
type CallOutcome struct {
	Answered bool
	// Code and Execution describe the failure of a call without an answer.
	Code      fault.Code
	Execution fault.Execution
}
