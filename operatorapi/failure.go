package operatorapi

import (
	"errors"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Failure describes why a command was refused.
type Failure struct {
	Code   fault.Code `json:"code"`
	Field  string     `json:"field,omitempty"`
	Reason string     `json:"reason"`
	// Action says what to do.
	Action string `json:"action"`
	// Problems lists every fault of a file.
	Problems document.Problems `json:"problems,omitempty"`
}

// FailureOf describes an error.
func FailureOf(err error) *Failure {
	typed := fault.From(err)
	definition := fault.Lookup(typed.Code)
	failure := &Failure{Code: typed.Code, Field: typed.Field, Reason: typed.Reason, Action: definition.Action}
	if failure.Reason == "" {
		failure.Reason = definition.Meaning
	}
	_ = errors.As(err, &failure.Problems)
	return failure
}

// Err returns the failure as a *fault.Error. The problems are its cause.
func (f *Failure) Err() error {
	return &fault.Error{Code: f.Code, Field: f.Field, Reason: f.Reason, Cause: f.Problems.Err()}
}
