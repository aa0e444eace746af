package generation

import "github.com/wisteriahaven/wisteriahaven/serving"

// LossReason says why an attempt ended without a complete answer.
type LossReason string

// The reasons for a lost attempt.
const (
	// LossBroken means that the connection broke or ended early.
	LossBroken LossReason = "broken"
	// LossRefused means that the engine answered and took no work.
	LossRefused LossReason = "refused"
	// LossUnreachable means that no connection could be opened.
	LossUnreachable LossReason = "unreachable"
	// LossUnknownStream means that the engine does not hold the stream.
	LossUnknownStream LossReason = "unknown-stream"
	// LossProtocol means that the stream sent what it must not.
	LossProtocol LossReason = "protocol"
	// LossSilent means that the attempt sent nothing within its budget.
	LossSilent LossReason = "silent"
)

// outcome returns what the loss says about the server.
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

// mayHaveRun reports whether the engine may have worked on the request.
func (r LossReason) mayHaveRun() bool {
	return r != LossRefused && r != LossUnreachable && r != LossUnknownStream
}
