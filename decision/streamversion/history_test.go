package streamversion_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
)

func origin(version string) streamversion.Origin {
	return streamversion.Origin{Service: "s", Version: version}
}

// Guards against ORDER: an instance that starts after a change of versions takes the new one for that of
// all streams.
func TestVersionThatLeftWhileNoInstanceRanIsKnown(t *testing.T) {
	is := is.New(t)
	before := streamversion.NewHistory()
	is.True(before.Observe(begin, []streamversion.Origin{origin("v1")}))
	is.True(!before.Observe(begin.Add(time.Hour), []streamversion.Origin{origin("v1")}))
	is.True(!before.HasOther(origin("v1")))

	after := streamversion.NewHistory()
	after.Merge(before.Served())
	started := begin.Add(2 * time.Hour)
	is.True(after.Observe(started, []streamversion.Origin{origin("v2")}))
	is.True(after.HasOther(origin("v2")))
	is.True(after.HasLeft("s"))
	is.True(after.HasSeveral())
	is.True(!after.HasLeft("other"))
	after.Observe(started.Add(streamversion.Lifetime), []streamversion.Origin{origin("v2")})
	is.True(!after.HasOther(origin("v2")))
	is.True(!after.HasSeveral())
}

// Histories of several data centres are merged: what one lists has not left.
func TestMergeKeepsTheLatestKnowledge(t *testing.T) {
	is := is.New(t)
	history := streamversion.NewHistory()
	history.Merge([]streamversion.Served{{Origin: origin("v1"), LeftAt: begin}, {Origin: origin("v2")}})
	history.Merge([]streamversion.Served{{Origin: origin("v1")}, {Origin: origin("v2"), LeftAt: begin}})
	is.Equal(history.Served(), []streamversion.Served{{Origin: origin("v1")}, {Origin: origin("v2")}})
}

func TestHistoryKnowsEachVersionOfTheLastMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, now := streamversion.NewHistory(), begin
		lastListed := make(map[string]time.Time)
		listed := []streamversion.Origin{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for _, o := range listed {
				lastListed[o.Version] = now
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
			listed = listed[:0]
			for n := range 3 {
				if rapid.Bool().Draw(t, "listed") {
					listed = append(listed, origin("v"+strconv.Itoa(n)))
				}
			}
			history.Observe(now, listed)
			if rapid.Bool().Draw(t, "restart") {
				restarted := streamversion.NewHistory()
				restarted.Merge(history.Served())
				history = restarted
			}
			for version, at := range lastListed {
				if now.Sub(at) < streamversion.Lifetime && !history.HasOther(origin("not "+version)) {
					t.Fatalf("%s was listed %v ago and is not known", version, now.Sub(at))
				}
			}
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	history := streamversion.NewHistory()
	for n := range 5000 {
		history.Observe(begin.Add(time.Duration(n)*time.Millisecond), []streamversion.Origin{origin("v" + strconv.Itoa(n))})
	}
	is.True(len(history.Served()) <= 1024)
	is.True(history.HasOther(origin("v4999")))
}
