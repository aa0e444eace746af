package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
)

// With a single instance the server's true load is what that instance sent
// and did not see end: however late the reports, the estimate must equal it.
func TestEstimateOfASingleSenderIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		tracker := load.NewTracker(load.DefaultConfig())
		now := time.Duration(0)
		held := 0
		var late []load.Report
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"wait":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond },
			"start": func(*rapid.T) { now++; held++; tracker.Started(now) },
			"end": func(t *rapid.T) {
				if held == 0 {
					t.Skip("idle")
				}
				now++
				held--
				tracker.Ended(now)
			},
			"observe": func(*rapid.T) {
				sequence++
				late = append(late, load.Report{BootID: "b", Sequence: sequence, Requests: held, Observed: now})
			},
			"deliver": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("none")
				}
				tracker.Reported(rapid.SampledFrom(late).Draw(t, "report"))
			},
			"": func(*rapid.T) { is.Equal(tracker.Estimate(now, 1), held) },
		})
	})
}

func TestStaleReportGivesWayToOwnRequests(t *testing.T) {
	is := is.New(t)
	tracker := load.NewTracker(load.DefaultConfig())
	tracker.Reported(load.Report{BootID: "b", Sequence: 1, Requests: 40})
	is.Equal(tracker.Estimate(time.Second, 8), 40)
	tracker.Started(time.Second)
	is.Equal(tracker.Estimate(time.Minute, 8), 8)
}

func TestNewBootReplacesAHigherSequence(t *testing.T) {
	is := is.New(t)
	tracker := load.NewTracker(load.DefaultConfig())
	tracker.Reported(load.Report{BootID: "a", Sequence: 9, Requests: 40})
	tracker.Reported(load.Report{BootID: "b", Sequence: 1, Requests: 2})
	is.Equal(tracker.Estimate(0, 1), 2)
}

func TestSlowStartGrowsToOne(t *testing.T) {
	is := is.New(t)
	is.Equal(load.SlowStart(0, time.Minute, 0.25), 0.25)
	is.Equal(load.SlowStart(30*time.Second, time.Minute, 0.5), 0.75)
	is.Equal(load.SlowStart(time.Hour, time.Minute, 0.25), 1.0)
}

func TestExpectedCountsTheOthersAsThisOne(t *testing.T) {
	is := is.New(t)
	tracker := load.NewTracker(load.DefaultConfig())
	tracker.Started(time.Second)
	tracker.Reported(load.Report{BootID: "b", Sequence: 1, Requests: 10, Observed: 2 * time.Second})
	tracker.Started(3 * time.Second)
	tracker.Started(3 * time.Second)
	is.Equal(tracker.Estimate(4*time.Second, 9), 12)
	is.Equal(tracker.EstimateWithPeers(4*time.Second, 9), 28)
}
