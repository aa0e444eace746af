package http1

import "strconv"

// ProtocolError describes a message that violates the protocol or a size limit.
type ProtocolError struct {
	// Status is the HTTP status for the response to such a request.
	Status int
	// Field is the name of the header field or part of the message that is invalid.
	Field string
	// Reason states what is invalid about it.
	Reason string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return e.Field + ": " + e.Reason + " (status " + strconv.Itoa(e.Status) + ")"
}

// The HTTP statuses of protocol errors.
const (
	statusBadRequest      = 400
	statusBodyTooLarge    = 413
	statusHeaderTooLarge  = 431
	statusVersionMismatch = 505
)

func malformed(field, reason string) *ProtocolError {
	return &ProtocolError{Status: statusBadRequest, Field: field, Reason: reason}
}
