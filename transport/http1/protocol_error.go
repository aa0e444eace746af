package http1

import "strconv"

// ProtocolError is a message that breaks the protocol or a limit.
type ProtocolError struct {
	// Status is the HTTP status with which a server answers such a request.
	Status int
	// Field names the part of the message that is wrong.
	Field string
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return e.Field + ": " + e.Reason + " (status " + strconv.Itoa(e.Status) + ")"
}

// The statuses of protocol errors.
const (
	statusBadRequest      = 400
	statusBodyTooLarge    = 413
	statusHeaderTooLarge  = 431
	statusVersionMismatch = 505
)

func malformed(field, reason string) *ProtocolError {
	return &ProtocolError{Status: statusBadRequest, Field: field, Reason: reason}
}
