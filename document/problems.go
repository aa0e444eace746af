package document

import (
	"strings"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Problems are the errors in one document, in the order found. As an error it
// unwraps to one *fault.Error of code SettingsInvalid for each problem.
type Problems []Problem

// Add appends a problem at a path.
func (p *Problems) Add(path, reason string) {
	*p = append(*p, Problem{Path: path, Reason: reason})
}

// Err returns the problems as an error, nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Error implements the error interface: one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each problem as a *fault.Error.
func (p Problems) Unwrap() []error {
	errs := make([]error, len(p))
	for i, problem := range p {
		reason := Problem{File: problem.File, Line: problem.Line, Column: problem.Column, Reason: problem.Reason}
		errs[i] = &fault.Error{Code: fault.SettingsInvalid, Field: problem.Path, Reason: reason.String()}
	}
	return errs
}
