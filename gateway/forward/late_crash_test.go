package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
)

// Guards against quarantines of streams that ran where several servers failed at once, and of those beside the cause.
func TestLateCrashesOfSeveralServersAreNotPutDownToStreams(t *testing.T) {
	for name, c := range map[string]struct {
		// signs are when other servers showed signs of a failure, before the crash.
		signs   map[string][]time.Duration
		counted bool
	}{
		"alone":                          {nil, true},
		"another one":                    {map[string][]time.Duration{"x": {0}}, true},
		"two others":                     {map[string][]time.Duration{"x": {0}, "y": {200 * time.Millisecond}}, false},
		"two that failed before":         {map[string][]time.Duration{"x": {time.Second}, "y": {time.Second}}, true},
		"two that are still unreachable": {map[string][]time.Duration{"x": {time.Second, 0}, "y": {2 * time.Second, time.Second, 0}}, true},
		"two that fail again":            {map[string][]time.Duration{"x": {9 * time.Second, 0}, "y": {9 * time.Second, 0}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newReachFixture(t, "a")
			now := time.Now()
			for server, signs := range c.signs {
				for _, before := range signs {
					f.crashes.recordFailure(server, now.Add(-before))
				}
			}
			f.crashes.recordLate(f.servers[0], []brokenRun{{request: "r", keys: poison.Run{Request: 5}, at: now, late: true}})
			is.Equal(len(f.poison.News(true).Crashes) > 0, c.counted)
		})
	}
}

// Guards against a stream that sent nothing between its first event and its end, and whose crashes of before go on counting.
func TestStreamThatEndsLongAfterItsFirstEventClearsItsRequest(t *testing.T) {
	is := is.New(t)
	f := newReachFixture(t, "a")
	j := &job{run: poison.Run{Request: 7}, late: poison.Run{Request: 8}}
	for _, keys := range []poison.Run{j.run, j.late} {
		f.poison.recordCrash(brokenRun{keys: keys, at: time.Now()}, f.servers[0])
	}
	attempt := &streamAttempt{run: &streamRun{f: f.Forwarder, j: j}, server: f.servers[0], firstEventAt: time.Now().Add(-2 * crashTime)}
	attempt.recordRun(t.Context(), &streamResult{complete: true})
	is.Equal(len(f.poison.News(true).CleanRuns), 2)
}
