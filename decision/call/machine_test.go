package call_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/decision/retry"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// course drives one machine without claims with drawn ends of its attempts.
type course struct {
	t        *rapid.T
	machine  *call.Machine
	now      time.Time
	wake     time.Time
	running  []int
	servers  map[string]int
	sent     int
	finished []call.Finish
}

func (c *course) step(input call.Input) {
	for _, output := range c.machine.Step(c.now, input) {
		switch output := output.(type) {
		case call.RequestRoute:
			c.step(call.RouteChosen{Server: "server-" + strconv.Itoa(len(output.Exclude))})
		case call.Dispatch:
			c.running = append(c.running, output.Attempt)
			c.servers[output.Server]++
		case call.Cancel:
			c.end(output.Attempt)
		case call.Finish:
			c.finished = append(c.finished, output)
		case call.Wake:
			c.wake = output.At
		}
	}
}

func (c *course) end(attempt int) {
	for i, running := range c.running {
		if running == attempt {
			c.running = append(c.running[:i], c.running[i+1:]...)
			return
		}
	}
}

// run ends attempts or lets time pass until the call is done.
func (c *course) run() {
	c.step(call.Start{})
	for !c.machine.Done() {
		if len(c.running) == 0 || rapid.Bool().Draw(c.t, "time passes") {
			c.now = c.wake
			c.step(call.Tick{})
			continue
		}
		attempt := rapid.SampledFrom(c.running).Draw(c.t, "attempt")
		ending := call.Ending(rapid.IntRange(0, 2).Draw(c.t, "ending"))
		c.end(attempt)
		if ending != call.NeverSent {
			c.sent++
		}
		c.now = c.now.Add(time.Millisecond)
		c.step(call.AttemptEnded{Attempt: attempt, Ending: ending, Outcome: claim.Outcome{Status: 200}})
	}
}

func newCourse(t *rapid.T, mode call.Mode) *course {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	request := call.Request{Mode: mode, Keyed: true, Deadline: start.Add(10 * time.Second), HedgeAfter: 50 * time.Millisecond}
	budget := retry.NewBudget(0.1, float64(rapid.IntRange(0, 5).Draw(t, "budget")))
	return &course{
		t:       t,
		machine: call.New(call.DefaultSettings(), request, budget, random),
		now:     start,
		servers: make(map[string]int),
	}
}

func TestIdempotentCallStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		c := newCourse(t, call.ModeIdempotent)
		c.run()
		is.Equal(len(c.finished), 1)
		is.Equal(len(c.running), 0)
		total := 0
		for _, attempts := range c.servers {
			is.Equal(attempts, 1) // each attempt goes to another server
			total += attempts
		}
		is.True(total <= call.DefaultSettings().MaxAttempts+1)
		if failure := c.finished[0].Fault; failure != nil && c.sent > 0 {
			is.Equal(failure.Execution, fault.ExecutionUnknown)
		}
	})
}

func TestCheckedCallIsSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		c := newCourse(t, call.ModeChecked)
		c.run()
		is.Equal(len(c.finished), 1)
		is.True(c.sent <= 1)
		failure := c.finished[0].Fault
		is.True(failure == nil || failure.Execution != fault.ExecutionNotRun) // earlier submissions are not known
	})
}

func TestRefusedRouteOfAClaimedCallIsReleasedFirst(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	request := call.Request{Mode: call.ModeClaimed, Keyed: true, Deadline: start.Add(10 * time.Second)}
	machine := call.New(call.DefaultSettings(), request, nil, rand.New(rand.NewPCG(1, 1)))
	machine.Step(start, call.Start{})
	outputs := machine.Step(start, call.OperationAnswered{ID: 1, Verdict: claim.ResultClaimed})
	is.Equal(outputs[0].(call.RequestRoute).Purpose, serving.PurposeFirst)
	outputs = machine.Step(start, call.RouteFailed{Fault: fault.New(fault.NoRule, "no rule")})
	is.Equal(outputs[0].(call.Submit).Operation.Kind, claim.Release)
	outputs = machine.Step(start, call.OperationAnswered{ID: 2, Verdict: claim.ResultReleased})
	answer := outputs[0].(call.Finish).Fault
	is.Equal(answer.Code, fault.NoRule)
	is.Equal(answer.Execution, fault.ExecutionNotRun)
	is.True(machine.Done())
}
