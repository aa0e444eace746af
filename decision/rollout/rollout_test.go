package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// version is how the servers of a version answer.
type version struct {
	// failing is the share of failures, slow the factor of the latency, both from badFrom on.
	failing, slow float64
	badFrom       time.Duration
	// route restricts what is bad to one route, unless it is 0; dataCentre likewise.
	route, dataCentre uint32
}

// play is an order that is played in virtual time.
type play struct {
	random   *rand.Rand
	duration time.Duration
	// rates are the requests a second of each route; base is the share of failures of any version.
	rates []float64
	base  float64
	// trouble is a time in which servers of both versions fail in a data centre; lag is the age of the evidence.
	trouble [2]time.Duration
	lag     time.Duration
	to      version
	// latency draws the time of a good answer; nil for 20 ms and more.
	latency func(*rand.Rand) time.Duration
	// streams is the time of a stream; 0 for calls.
	streams time.Duration
	// requests, exposed and bad are what the new version got until the deadline; lateSends were sent to it later than
	// the stop time after its 50th bad answer.
	requests, exposed, bad, lateSends int
	badAt                             time.Duration
	ended                             time.Duration
	plan                              Plan
}

var testLimits = Limits{Share: 0.1, Slack: 50, StopTime: 5 * time.Second}

const dataCentres = 3

// run plays the order with next as policy and returns its outcome.
func (p *play) run(next func(*Input) Plan) Outcome {
	const tick = 50 * time.Millisecond
	judge, evidence := NewJudge(p.duration), Evidence{Cells: make(map[Cell]Counts)}
	var delayed []Evidence
	share, shares, credits, requests := 0.0, map[uint32]float64{}, []float64{0.2, 0.7}, map[uint32]int{}
	lastOld := -time.Hour
	for now := time.Duration(0); now < p.duration+40*time.Second; now += tick {
		for route, rate := range p.rates {
			for range p.arrivals(rate * tick.Seconds()) {
				evidence.Requests++
				requests[uint32(route+1)]++
				credits[route] += shares[uint32(route+1)]
				isNew := credits[route] >= 1
				if isNew {
					credits[route]--
				} else if p.streams > 0 {
					lastOld = now
				}
				p.answer(&evidence, now, uint32(route+1), isNew)
			}
		}
		if now < p.duration {
			p.requests, p.exposed = evidence.Requests, evidence.Exposed
		}
		evidence.OldStreams = 0
		if now-lastOld < p.streams {
			evidence.OldStreams = 1
		}
		delayed = append(delayed, cloneEvidence(&evidence))
		if now%(200*time.Millisecond) != 0 {
			continue
		}
		seen := delayed[max(0, len(delayed)-1-int(p.lag/tick))]

		p.plan = next(&Input{
			Limits: testLimits, Duration: p.duration, Elapsed: now, Drain: 25 * time.Second, Servers: true, SlackPart: 1,
			Age: p.lag, Share: share, Requests: seen.Requests, Exposed: seen.Exposed, OldStreams: seen.OldStreams, Findings: judge.Evaluate(now, &seen),
		})
		share, shares = p.plan.Share, RouteShares(p.plan.Share, requests)
		if p.plan.Outcome != Running {
			p.ended = now
			rest := int(max(0, p.duration-now).Seconds() * p.total())
			p.requests += rest
			if p.plan.Outcome == Completed {
				p.exposed += rest
			}
			return p.plan.Outcome
		}
	}
	return Running
}

func (p *play) total() float64 {
	sum := 0.0
	for _, rate := range p.rates {
		sum += rate
	}
	return sum
}

func (p *play) arrivals(expected float64) int {
	count := int(expected)
	if p.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// answer adds the answer of one request to the evidence.
func (p *play) answer(evidence *Evidence, now time.Duration, route uint32, isNew bool) {
	cell := Cell{Route: route, DataCentre: uint32(p.random.IntN(dataCentres)), New: isNew}
	counts := evidence.Cells[cell]
	latency := time.Duration((20 + 20*p.random.ExpFloat64()) * float64(time.Millisecond))
	if p.latency != nil {
		latency = p.latency(p.random)
	}
	failing := p.base
	if cell.DataCentre == 0 && now >= p.trouble[0] && now < p.trouble[1] {
		failing = 0.6
	}
	if isNew {
		evidence.Exposed++
		if p.badAt > 0 && now > p.badAt+testLimits.StopTime {
			p.lateSends++
		}
		to := p.to
		if now >= to.badFrom && (to.route == 0 || to.route == route) && (to.dataCentre == 0 || to.dataCentre == cell.DataCentre) {
			failing += to.failing
			latency = time.Duration(float64(latency) * max(1, to.slow))
			if to.slow > 1 || p.random.Float64() < to.failing {
				if p.bad++; p.bad == MaxBadAnswers {
					p.badAt = now
				}
			}
		}
	}
	if p.random.Float64() < failing {
		counts.Failures++
	} else {
		counts.Latencies[BucketOf(latency)]++
	}
	evidence.Cells[cell] = counts
}

func cloneEvidence(evidence *Evidence) Evidence {
	clone := Evidence{OldStreams: evidence.OldStreams}
	other := *evidence
	other.OldStreams = 0
	clone.Add(&other)
	return clone
}

func newPlay(seed uint64, to version) *play {
	return &play{random: rand.New(rand.NewPCG(seed, 1)), duration: 12 * time.Second, rates: []float64{105, 24}, base: 0.01, lag: time.Second, to: to}
}

// withinBound reports whether a bad version got no more than the bound.
func (p *play) withinBound() bool {
	return float64(p.exposed) <= testLimits.Share*float64(p.requests)+float64(testLimits.Slack)
}

// TestBadVersionsAreRolledBackWithinTheBounds plays versions that are bad in each of the ways.
func TestBadVersionsAreRolledBackWithinTheBounds(t *testing.T) {
	for name, to := range map[string]version{
		"fails":              {failing: 0.3},
		"fails later":        {failing: 0.4, badFrom: 5 * time.Second},
		"slow":               {slow: 4},
		"slow later":         {slow: 4, badFrom: 5 * time.Second},
		"fails on one route": {failing: 0.6, route: 2},
		"slow on one route":  {slow: 5, route: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				p := newPlay(seed, to)
				is.Equal(p.run(Next), RolledBack)
				is.True(p.withinBound())
				is.Equal(p.lateSends, 0)
				is.True(p.ended <= p.duration)
			}
		})
	}
}

// shortWithJitter draws answers of a millisecond, of which some wait for a processor for several times as long.
func shortWithJitter(random *rand.Rand) time.Duration {
	latency := time.Millisecond
	if random.Float64() < 0.35 {
		latency += time.Duration((4 + 4*random.ExpFloat64()) * float64(time.Millisecond))
	}
	return latency
}

// Guards against bad versions that are completed because the old one's short answers vary by some milliseconds.
func TestJitterOfShortAnswersHidesNoBadVersion(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		for _, to := range []version{{failing: 0.5}, {slow: 150}} {
			p := newPlay(seed, to)
			p.rates, p.duration, p.lag, p.latency = []float64{60}, 8*time.Second, 300*time.Millisecond, shortWithJitter
			is.Equal(p.run(Next), RolledBack)
			is.True(p.withinBound())
		}
	}
}

// TestGoodVersionsAreCompleted plays good versions beside what looks like a bad one.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for name, change := range map[string]func(*play){
		"calm":                       func(*play) {},
		"failures are usual":         func(p *play) { p.base = 0.14 },
		"one machine is slow":        func(p *play) { p.to = version{slow: 5, dataCentre: 1} },
		"one machine fails":          func(p *play) { p.to = version{failing: 0.3, dataCentre: 1} },
		"a data centre in trouble":   func(p *play) { p.trouble = [2]time.Duration{4 * time.Second, 8 * time.Second} },
		"ten seconds and few":        func(p *play) { p.duration, p.rates = 10*time.Second, []float64{4} },
		"many requests":              func(p *play) { p.rates = []float64{900, 100} },
		"an hour would be a minute":  func(p *play) { p.duration = time.Minute },
		"streams that run for a bit": func(p *play) { p.rates, p.streams = []float64{27}, 5*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			completed := 0
			for seed := range uint64(20) {
				p := newPlay(seed, version{})
				change(p)
				if p.run(Next) == Completed {
					completed++
				}
				is.True(p.withinBound())
				if p.streams == 0 {
					is.True(p.ended <= p.duration)
				}
			}
			is.Equal(completed, 20)
		})
	}
}

// TestBoundHoldsWhateverTheVersionDoes draws traffic, delays and versions: the bound doesn't depend on evidence.
func TestBoundHoldsWhateverTheVersionDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		to := version{badFrom: time.Duration(rapid.Float64Range(0, 12e9).Draw(t, "bad from")), route: rapid.Uint32Range(0, 2).Draw(t, "route")}
		if rapid.Bool().Draw(t, "fails") {
			to.failing = rapid.Float64Range(0.1, 1).Draw(t, "failing")
		} else {
			to.slow = rapid.Float64Range(3, 8).Draw(t, "slow")
		}
		p := newPlay(rapid.Uint64().Draw(t, "seed"), to)
		p.duration = time.Duration(rapid.Int64Range(4, 20).Draw(t, "seconds")) * time.Second
		p.rates = []float64{rapid.Float64Range(0.1, 150).Draw(t, "first"), rapid.Float64Range(0.1, 50).Draw(t, "second")}
		p.lag = time.Duration(rapid.Int64Range(0, 3000).Draw(t, "lag")) * time.Millisecond
		p.run(Next)
		if !p.withinBound() {
			t.Fatalf("%d of %d requests reached the new version", p.exposed, p.requests)
		}
		if p.lateSends > 0 {
			t.Fatalf("%d requests after the stop time", p.lateSends)
		}
	})
}

// inSteps is the policy that was weighed: the share is doubled each second while the evidence is good.
func inSteps(in *Input) Plan {
	if in.Findings.Bad {
		return Plan{Outcome: RolledBack}
	}
	share := min(1, 0.05*float64(uint64(1)<<min(10, uint64(in.Elapsed/time.Second))))
	if share == 1 && in.OldStreams == 0 && in.Elapsed > in.Duration/2 {
		return Plan{Share: 1, Outcome: Completed}
	}
	return Plan{Share: share}
}

// TestStepsExposeMoreThanTheBound shows what the policy costs that was not chosen: a version that becomes bad
// after the switch has got many times the bound.
func TestStepsExposeMoreThanTheBound(t *testing.T) {
	is := is.New(t)
	steps := newPlay(1, version{failing: 0.5, badFrom: 5 * time.Second})
	steps.run(inSteps)
	is.True(!steps.withinBound())
	late := newPlay(1, version{failing: 0.5, badFrom: 5 * time.Second})
	is.Equal(late.run(Next), RolledBack)
	is.True(late.withinBound())
}

func TestTooFewAnswersRollBack(t *testing.T) {
	is := is.New(t)
	in := Input{Limits: testLimits, Duration: 10 * time.Second, Elapsed: 9500 * time.Millisecond, Servers: true, SlackPart: 1, Requests: 500, Findings: Findings{Answers: 3}}
	is.Equal(Next(&in), Plan{Outcome: RolledBack, Reason: ReasonTooFewAnswers})
	in.Findings.Answers, in.Servers = 50, false
	is.Equal(Next(&in), Plan{Outcome: RolledBack, Reason: ReasonNoServers})
}

// TestSlackBelongsToAllInstances guards against a bound that each side of a cut uses in full.
func TestSlackBelongsToAllInstances(t *testing.T) {
	is := is.New(t)
	whole := Input{Limits: testLimits, Duration: 10 * time.Second, Elapsed: 5 * time.Second, Servers: true, SlackPart: 1, Requests: 100}
	side := whole
	side.Requests, side.SlackPart = 10, 0.1
	is.True(10*Next(&side).Share*float64(side.Requests) <= 1.01*Next(&whole).Share*float64(whole.Requests))
}
