package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// breakerOutcome converts an attempt's outcome for the circuit breaker.
func breakerOutcome(outcome serving.AttemptOutcome) breaker.Outcome {
	switch outcome {
	case serving.OutcomeSucceeded:
		return breaker.Success
	case serving.OutcomeBroken, serving.OutcomeUnreachable:
		return breaker.Failure
	default:
		return breaker.Neutral
	}
}
