package reach_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/reach"
)

var begin = time.Unix(1_700_000_000, 0)

func never(string) time.Time { return time.Time{} }

func serverNames(count int) []string {
	servers := make([]string, count)
	for i := range servers {
		servers[i] = strconv.Itoa(i)
	}
	return servers
}

// TestProperties compares the state with a record of all connection attempts.
func TestProperties(t *testing.T) {
	policy := reach.DefaultPolicy()
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := reach.NewTracker(policy), begin
		servers := serverNames(rapid.IntRange(1, 6).Draw(t, "servers"))
		var failed []string
		var since time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			server := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				tracker.Opened(now, "s")
				failed, since = nil, time.Time{}
			case 1:
				tracker.Opened(now, "another service")
			default:
				tracker.Failed(now, "s", server, rapid.Bool().Draw(t, "timed out"))
				if since.IsZero() {
					since = now
				}
				if !slices.Contains(failed, server) {
					failed = append(failed, server)
				}
			}
			want := reach.Reached
			if !since.IsZero() {
				want = reach.Suspected
				if len(failed) >= min(len(servers), policy.Servers) && now.Sub(since) >= policy.Wait {
					want = reach.CutOff
				}
			}
			if got := tracker.State(now, "s", servers, never); got != want {
				t.Fatalf("state %v, want %v, failed %v", got, want, failed)
			}
		}
	})
}

func TestSlowServersAreNoCut(t *testing.T) {
	is := is.New(t)
	tracker, servers := reach.NewTracker(reach.DefaultPolicy()), serverNames(3)
	for _, server := range servers {
		tracker.Failed(begin, "s", server, true)
	}
	now := begin.Add(time.Second)
	responds := func(server string) time.Time {
		if server == "1" {
			return now
		}
		return time.Time{}
	}
	is.Equal(tracker.State(now, "s", servers, responds), reach.Suspected)
	is.Equal(tracker.State(now, "s", servers, never), reach.Suspected) // the response cancelled the failure
	tracker.Failed(now, "s", "1", false)                               // refused although connections from before live on
	is.Equal(tracker.State(now, "s", servers, responds), reach.CutOff)
}

func TestServicesWithoutServersAreNotCutOff(t *testing.T) {
	is := is.New(t)
	tracker := reach.NewTracker(reach.DefaultPolicy())
	tracker.Failed(begin, "s", "removed", false)
	is.Equal(tracker.State(begin.Add(time.Hour), "s", nil, never), reach.Reached)
	is.Equal(len(tracker.Unconfirmed()), 0)
}

func TestAllServicesAreCutOff(t *testing.T) {
	is := is.New(t)
	tracker := reach.NewTracker(reach.DefaultPolicy())
	tracker.Opened(begin, "c")
	tracker.Failed(begin.Add(1), "a", "0", false)
	is.True(!tracker.AllCutOff(nil, 3))
	is.True(!tracker.AllCutOff([]string{"a"}, 3))
	is.True(tracker.AllCutOff([]string{"a"}, 1))
	tracker.Failed(begin.Add(2), "b", "1", false)
	is.True(tracker.AllCutOff([]string{"a", "b"}, 3))
	tracker.Opened(begin.Add(3), "c")
	is.True(!tracker.AllCutOff([]string{"a", "b"}, 3))
}
