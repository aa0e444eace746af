package generation

import "github.com/wisteriahaven/wisteriahaven/serving"

// LossReason says why an attempt ended without a complete answer.
type FailureReason string

// The reasons for a lost attempt.
const (
	// LossBroken means that the connection broke or ended early.
	FailureBroken FailureReason = "broken"
	// LossRefused means that the engine answered and took no work.
	FailureRefused FailureReason = "refused"
	// LossUnreachable means that no connection could be opened.
	FailureUnreachable FailureReason = "unreachable"
	// LossUnknownStream means that the engine does not hold the stream.
	FailureUnknownStream FailureReason = "unknown-stream"
	// LossProtocol means that the stream sent what it must not.
	FailureProtocol FailureReason = "protocol"
	// LossSilent means that the attempt sent nothing within its budget.
	FailureStalled FailureReason = "silent"
)

// outcome returns what the loss says about the server.
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

// mayHaveRun reports whether the engine may have worked on the request.
func (r FailureReason) mayHaveRun() bool {
	return r != FailureRefused && r != FailureUnreachable && r != FailureUnknownStream
}
