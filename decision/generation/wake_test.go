package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/decision/generation"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// TestWakeTimeAdvances lets a suspected stream come back while the machine
// waits to ask for a route again: the wait must not stay due for ever.
func TestWakeTimeAdvances(t *testing.T) {
	is := is.New(t)
	machine := generation.New(generation.Config{
		Model: "m", Version: "v1", Deadline: time.Hour, Policy: generation.PolicyFor(estate.Recovery{}),
	}, rand.New(rand.NewPCG(1, 1)))
	machine.Step(0, generation.Start{Cursor: &cursor.Position{
		Server: "a", StreamID: "s", BootID: "b", Model: "m", Version: "v1",
		Offset: 2, Hash: rollinghash.Of([]string{"x", "y"}),
	}})
	probeEnds, _ := machine.Wake()
	machine.Step(probeEnds, generation.Tick{})
	machine.Step(probeEnds, generation.RouteFailed{RouteNumber: 1, Fault: fault.New(fault.NoBackendServer, "")})
	retry, _ := machine.Wake()
	machine.Step(probeEnds, generation.AttemptOpened{Attempt: 1, StreamID: "s", BootID: "b", Version: "v1"})
	machine.Step(probeEnds, generation.Token{Attempt: 1, Offset: 0, Text: "x"})
	machine.Step(retry, generation.Tick{})
	next, ok := machine.Wake()
	is.True(ok)
	is.True(next > retry)
}
