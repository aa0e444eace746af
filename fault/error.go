package fault

import (
	"errors"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Error is a typed failure.
type Error struct {
	// Code names the kind of failure.
	Code Code
	// Field is the path of the invalid input field, empty when none is.
	Field string
	// Reason explains the failure in one sentence.
	Reason string
	// Execution states whether the request was run; empty where it has no meaning.
	Execution Execution
	// RetryAfter is the time the client should wait before a retry; zero gives no
	// advice.
	RetryAfter time.Duration
	// Cause is the wrapped error, nil when there is none.
	Cause error
}

// New returns an error of the given code.
func New(code Code, reason string) *Error {
	return &Error{Code: code, Reason: reason}
}

// Invalid returns the error for a bad input field.
func Invalid(field, reason string) *Error {
	return &Error{Code: InvalidField, Field: field, Reason: reason}
}

// Wrap returns an error of the given code around cause. The cause keeps its
// stack and the domain in which it happened.
func Wrap(code Code, domain, reason string, cause error) *Error {
	return &Error{Code: code, Reason: reason, Cause: oops.In(domain).Code(string(code)).Wrap(cause)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(string(e.Code))
	if e.Field != "" {
		text.WriteString(" at " + e.Field)
	}
	if e.Reason != "" {
		text.WriteString(": " + e.Reason)
	}
	if e.Cause != nil {
		text.WriteString(": " + e.Cause.Error())
	}
	return text.String()
}

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error with the same code, so that
// errors.Is(err, fault.New(code, "")) compares by code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// Status returns the HTTP status of the error's code.
func (e *Error) Status() int { return Lookup(e.Code).Status }

// WithExecution returns a copy that states whether the request was run.
func (e *Error) WithExecution(execution Execution) *Error {
	changed := *e
	changed.Execution = execution
	return &changed
}

// WithRetryAfter returns a copy that advises the client to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// From returns err as an *Error. An error that wraps none becomes Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(Internal, "fault", "unexpected failure", err)
}

// HasCode reports whether err or one of its causes carries the code.
func HasCode(err error, code Code) bool {
	return errors.Is(err, &Error{Code: code})
}
