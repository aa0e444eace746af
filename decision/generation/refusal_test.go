package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// TestRefusalOfARouteReachesTheCaller refuses the route of the second attempt
// after the first one broke: the caller must receive that refusal's code, with
// the execution unknown.
func TestRefusalOfARouteReachesTheCaller(t *testing.T) {
	is := is.New(t)
	machine := generation.New(generation.Config{
		Model: "m", Version: "v1", Deadline: time.Hour, Policy: generation.PolicyFor(estate.Recovery{}),
	}, rand.New(rand.NewPCG(1, 1)))
	machine.Step(0, generation.Start{})
	machine.Step(0, generation.RouteChosen{RouteNumber: 1, Server: "a"})
	machine.Step(0, generation.AttemptFailed{Attempt: 1, Reason: generation.FailureBroken})
	outputs := machine.Step(0, generation.RouteFailed{RouteNumber: 2, Fault: fault.New(fault.RequestQuarantined, "")})
	failed, ok := outputs[len(outputs)-1].(generation.Fail)
	is.True(ok)
	is.Equal(failed.Fault.Code, fault.RequestQuarantined)
	is.Equal(failed.Fault.Execution, fault.ExecutionUnknown)
}
