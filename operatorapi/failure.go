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
	// Action is what the operator can do about the failure.
	Action string `json:"action"`
	// Problems lists every problem of a file.
	Problems document.Problems `json:"problems,omitempty"`
}

// FailureOf returns the description of an error.
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

// Err returns the failure as a *fault.Error with the problems as its cause.
func (f *Failure) Err() error {
	return &fault.Error{Code: f.Code, Field: f.Field, Reason: f.Reason, Cause: f.Problems.Err()}
}
