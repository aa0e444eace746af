package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/breaker"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// breakerOutcome returns what an attempt's end says about the server.
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
