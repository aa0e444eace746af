package lease_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/lease"
	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.ApplyWithChecks(propertyCases)
	os.Exit(m.Run())
}

// object is the lease object on a platform that versions it.
type object struct {
	found   bool
	version uint64
	record  lease.Record
}

func (o *object) write(w lease.Write) lease.Input {
	if o.found != (w.IfVersion != 0) || (o.found && o.version != w.IfVersion) {
		return lease.Conflict{Call: w.Call}
	}
	o.found, o.record = true, w.Record
	o.version++
	return lease.Written{Call: w.Call, Version: o.version}
}

// answer carries out a call and returns its answer.
func (o *object) answer(call lease.Output) lease.Input {
	if write, ok := call.(lease.Write); ok {
		return o.write(write)
	}
	return o.read(call.(lease.Read))
}

func (o *object) read(r lease.Read) lease.Input {
	return lease.ReadAnswer{Call: r.Call, Found: o.found, Version: o.version, Record: o.record}
}

// candidate is one machine with its own clock and its calls and answers in flight.
type candidate struct {
	machine     *lease.Machine
	clockOffset time.Duration
	clockRate   float64
	pending     []lease.Output
	answers     []lease.Input
}

func (c *candidate) localTime(now time.Duration) time.Duration {
	return c.clockOffset + time.Duration(float64(now)*c.clockRate)
}

// simulation holds the system under test: candidates, the platform and real time.
type simulation struct {
	now        time.Duration
	platform   object
	candidates []*candidate
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{platform: object{version: 1}}
	names := []string{"a", "b", "c"}
	// Over one duration of 15 s these rates drift by at most 0.6 s, which is
	// inside the clock bound of 1 s.
	rates := []float64{0.98, 1, 1.02}
	for _, name := range names {
		s.candidates = append(s.candidates, &candidate{
			machine:     lease.New(lease.DefaultSettings(name)),
			clockOffset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			clockRate:   rapid.SampledFrom(rates).Draw(t, "rate"),
		})
	}
	return s
}

func (s *simulation) drawCandidate(t *rapid.T) *candidate {
	return s.candidates[rapid.IntRange(0, len(s.candidates)-1).Draw(t, "candidate")]
}

func (s *simulation) step(c *candidate, input lease.Input) {
	c.pending = append(c.pending, c.machine.Step(c.localTime(s.now), input)...)
}

// execute runs the oldest pending call at the platform and queues its answer.
func (s *simulation) execute(c *candidate) {
	if len(c.pending) == 0 {
		return
	}
	call := c.pending[0]
	c.pending = c.pending[1:]
	c.answers = append(c.answers, s.platform.answer(call))
}

// deliver passes the oldest answer to the candidate, or a failed call in its place.
func (s *simulation) deliver(c *candidate, fail bool) {
	if len(c.answers) == 0 {
		return
	}
	answer := c.answers[0]
	c.answers = c.answers[1:]
	if fail {
		answer = lease.CallFailed{Call: callOf(answer)}
	}
	s.step(c, answer)
}

// runTick runs one tick of a candidate and all its calls without failures.
func (s *simulation) runTick(c *candidate) {
	s.step(c, lease.Tick{})
	for len(c.pending) > 0 || len(c.answers) > 0 {
		s.execute(c)
		s.deliver(c, false)
	}
}

// randomAction performs one random action.
func (s *simulation) randomAction(t *rapid.T) {
	c := s.drawCandidate(t)
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0, 1, 2, 3, 4:
		s.now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
	case 5, 6, 7, 8, 9:
		s.runTick(c)
	case 10:
		s.step(c, lease.Tick{})
	case 11:
		s.execute(c)
	case 12:
		s.deliver(c, false)
	case 13:
		s.deliver(c, true)
	case 14:
		s.failPending(c)
	default:
		if rapid.IntRange(0, 9).Draw(t, "resigns") == 0 {
			s.step(c, lease.Resign{})
		}
	}
}

// failPending fails the oldest pending call before it reaches the platform.
func (s *simulation) failPending(c *candidate) {
	if len(c.pending) == 0 {
		return
	}
	call := c.pending[0]
	c.pending = c.pending[1:]
	s.step(c, lease.CallFailed{Call: numberOf(call)})
}

func numberOf(call lease.Output) uint64 {
	if write, ok := call.(lease.Write); ok {
		return write.Call
	}
	return call.(lease.Read).Call
}

func callOf(answer lease.Input) uint64 {
	switch a := answer.(type) {
	case lease.Written:
		return a.Call
	case lease.Conflict:
		return a.Call
	default:
		return a.(lease.ReadAnswer).Call
	}
}

// checkInvariant tests the property: at any real time at most one candidate is a valid
// holder, and its fencing token is not above the platform's version.
func (s *simulation) checkInvariant(t *rapid.T) {
	holders := 0
	for _, c := range s.candidates {
		fencing, valid := c.machine.Held(c.localTime(s.now))
		if !valid {
			continue
		}
		holders++
		if fencing > s.platform.version {
			t.Fatalf("fencing token %d is above the platform's version %d", fencing, s.platform.version)
		}
	}
	if holders > 1 {
		t.Fatalf("%d candidates hold the lease", holders)
	}
}

// Size of the property test.
const (
	propertyCases = 5000
	stepsPerCase  = 200
)

func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range stepsPerCase {
			s.randomAction(t)
			s.checkInvariant(t)
		}
	})
}

// TestLeaseIsTakenAfterTheHolderFails guards against a lease that stays without a
// holder: after the holder stops, another candidate takes over within two durations.
func TestLeaseIsTakenAfterTheHolderFails(t *testing.T) {
	platform := object{version: 1}
	first := lease.New(lease.DefaultSettings("first"))
	second := lease.New(lease.DefaultSettings("second"))
	runTicks(first, &platform, 0, 30*time.Second)
	if _, valid := first.Held(30 * time.Second); !valid {
		t.Fatal("the first candidate does not hold the lease")
	}
	end := 30*time.Second + 2*lease.DefaultDuration
	runTicks(second, &platform, 30*time.Second, end)
	if _, valid := second.Held(end); !valid {
		t.Fatal("the second candidate did not take over")
	}
}

// TestResignedLeaseIsTakenAtOnce checks that after a resignation another candidate
// takes over without waiting for the lease to expire.
func TestResignedLeaseIsTakenAtOnce(t *testing.T) {
	platform := object{version: 1}
	first := lease.New(lease.DefaultSettings("first"))
	second := lease.New(lease.DefaultSettings("second"))
	runTicks(first, &platform, 0, 10*time.Second)
	run(first, &platform, 10*time.Second, lease.Resign{})
	if !first.Resigned() {
		t.Fatal("the first candidate did not resign")
	}
	runTicks(second, &platform, 10*time.Second, 11*time.Second)
	if _, valid := second.Held(11 * time.Second); !valid {
		t.Fatal("the second candidate did not take the released lease")
	}
}

func runTicks(m *lease.Machine, platform *object, from, to time.Duration) {
	for now := from; now <= to; now += 500 * time.Millisecond {
		run(m, platform, now, lease.Tick{})
	}
}

// run processes one input and answers every call at once.
func run(m *lease.Machine, platform *object, now time.Duration, input lease.Input) {
	outputs := m.Step(now, input)
	for len(outputs) > 0 {
		outputs = append(outputs[1:], m.Step(now, platform.answer(outputs[0]))...)
	}
}

// TestLateAnswerIsIgnored checks that the answer to a write that already counts as
// failed does not make the candidate a holder or extend a later write's validity.
func TestLateAnswerIsIgnored(t *testing.T) {
	m := lease.New(lease.DefaultSettings("first"))
	m.Step(0, lease.Tick{})
	write := m.Step(0, lease.ReadAnswer{Call: 1})[0].(lease.Write)
	m.Step(4*time.Second, lease.Tick{})
	m.Step(4*time.Second, lease.Written{Call: write.Call, Version: 9})
	if _, valid := m.Held(4 * time.Second); valid {
		t.Fatal("a late answer made the candidate a holder")
	}
}
