package generation

import "github.com/wisteriahaven/wisteriahaven/serving"

// FailureReason is the reason why an attempt ended without a complete answer.
type FailureReason string

// The reasons why an attempt fails.
const (
	// FailureBroken means that the connection broke or ended early.
	FailureBroken FailureReason = "broken"
	// FailureRefused means that the engine answered and refused the request.
	FailureRefused FailureReason = "refused"
	// FailureUnreachable means that no connection could be opened.
	FailureUnreachable FailureReason = "unreachable"
	// FailureUnknownStream means that the engine does not hold the stream.
	FailureUnknownStream FailureReason = "unknown-stream"
	// FailureProtocol means that the stream violated the protocol.
	FailureProtocol FailureReason = "protocol"
	// FailureStalled means that the attempt sent nothing within its timeout.
	FailureStalled FailureReason = "silent"
)

// outcome returns the outcome to report for the server.
func (r FailureReason) outcome() serving.AttemptOutcome {
	switch r {
	case FailureRefused:
		return serving.OutcomeRefused
	case FailureUnreachable:
		return serving.OutcomeUnreachable
	case FailureUnknownStream:
		return serving.OutcomeCancelled
	default:
		return serving.OutcomeBroken
	}
}

// mayHaveRun reports whether the engine may have executed the request.
func (r FailureReason) mayHaveRun() bool {
	return r != FailureRefused && r != FailureUnreachable && r != FailureUnknownStream
}
