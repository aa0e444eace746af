package configstore

import (
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// ConflictError is the cause of a CommandConflict.
type ConflictError struct {
	// Read is the revision the change was computed from.
	ReadRevision uint64
	// Current is the revision that came first.
	CurrentRevision uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "read revision " + strconv.FormatUint(e.ReadRevision, 10) + ", the current one is " + strconv.FormatUint(e.CurrentRevision, 10)
}

// conflict returns a CommandConflict that names both revisions.
func conflict(read, current uint64) error {
	cause := &ConflictError{ReadRevision: read, CurrentRevision: current}
	return &fault.Error{Code: fault.CommandConflict, Reason: cause.Error(), Cause: cause}
}
