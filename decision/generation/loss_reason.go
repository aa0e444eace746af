package generation

import "github.com/wisteriahaven/wisteriahaven/serving"

// FailureReason is the reason why an attempt ended without a complete answer.
type LossReason string

// The reasons why an attempt fails.
const (
	// FailureBroken means that the connection broke or ended early.
	LossBroken LossReason = "broken"
	// FailureRefused means that the engine answered and refused the request.
	LossRefused LossReason = "refused"
	// FailureUnreachable means that no connection could be opened.
	LossUnreachable LossReason = "unreachable"
	// FailureUnknownStream means that the engine does not hold the stream.
	LossUnknownStream LossReason = "unknown-stream"
	// FailureProtocol means that the stream violated the protocol.
	LossProtocol LossReason = "protocol"
	// FailureStalled means that the attempt sent nothing within its timeout.
	LossSilent LossReason = "silent"
)

// outcome returns the outcome to report for the server.
func (r LossReason) outcome() serving.AttemptOutcome {
	switch r {
	case LossRefused:
		return serving.OutcomeRefused
	case LossUnreachable:
		return serving.OutcomeUnreachable
	case LossUnknownStream:
		return serving.OutcomeCancelled
	default:
		return serving.OutcomeBroken
	}
}

// mayHaveRun reports whether the engine may have executed the request.
func (r LossReason) mayHaveRun() bool {
	return r != LossRefused && r != LossUnreachable && r != LossUnknownStream
}
