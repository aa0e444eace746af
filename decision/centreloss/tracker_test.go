package centreloss_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/centreloss"
)

// A running stream gets an event each 40 ms; its server is checked after 120 ms of silence, for 160 ms.
const (
	eventInterval = 40 * time.Millisecond
	silence       = 120 * time.Millisecond
	attemptTime   = 160 * time.Millisecond
	roundTrip     = 30 * time.Millisecond
	// maxVerdictTime leaves time to go on elsewhere within the 700 ms that callers accept.
	maxVerdictTime = 400 * time.Millisecond
)

var begin = time.Unix(1_700_000_000, 0)

// machine is a server that does not answer from one time to another, dark or refusing connections.
type machine struct {
	from, to time.Duration
	refuses  bool
	// streams is set when this instance has a running stream there.
	streams bool
	// accepts is set when only the process is silent.
	accepts bool
}

func (m *machine) silentAt(at time.Duration) bool { return at >= m.from && at < m.to }

// lastResponse returns when this instance last got something from the machine.
func (m *machine) lastResponse(at time.Duration) time.Time {
	switch {
	case !m.streams:
		return time.Time{}
	case m.silentAt(at):
		at = m.from
	}
	return begin.Add(at.Truncate(eventInterval))
}

// leaves returns when a stream at the first machine leaves it, as far as the tracker decides that; not found for never.
func leaves(machines []machine, until time.Duration) (time.Duration, bool) {
	tracker := centreloss.NewTracker(centreloss.DefaultPolicy())
	names, begun := make([]string, len(machines)), make(map[int]time.Duration)
	for n := range names {
		names[n] = fmt.Sprint(n)
	}
	checkedAt := time.Duration(0)
	for at := time.Duration(0); at < until; at += time.Millisecond {
		now := begin.Add(at)
		last := func(server string) time.Time { return machines[slices.Index(names, server)].lastResponse(at) }
		silent := false
		for n := range machines {
			if machines[n].streams && now.Sub(machines[n].lastResponse(at)) == silence {
				tracker.Silent(now, machines[n].lastResponse(at), names[n])
				silent = true
			}
		}
		if waited := at - checkedAt; silent || (machines[0].silentAt(at) && waited >= 400*time.Millisecond && now.Sub(machines[0].lastResponse(at)) > silence) {
			for n := range machines {
				if _, running := begun[n]; !running && now.Sub(machines[n].lastResponse(at)) >= silence {
					begun[n] = at
				}
			}
			checkedAt = at
		}
		for n, since := range begun {
			m, took := &machines[n], at-since
			switch {
			case (!m.silentAt(at) || m.accepts) && took >= roundTrip:
				tracker.Checked(now, begin.Add(since), m.lastResponse(at), names[n], centreloss.Reached)
			case m.refuses && took >= roundTrip:
				tracker.Checked(now, begin.Add(since), m.lastResponse(at), names[n], centreloss.Refused)
			case took >= attemptTime:
				tracker.Checked(now, begin.Add(since), m.lastResponse(at), names[n], centreloss.Unanswered)
			default:
				continue
			}
			delete(begun, n)
		}
		if machines[0].silentAt(at) && tracker.Lost(now, names[0], names[1:], last).Lost {
			return at, true
		}
	}
	return 0, false
}

// Guards against streams that are late because they wait for the servers of a lost data centre.
func TestMostServersOfADataCentreAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(2, 12).Draw(t, "servers")
		lost := rapid.IntRange(min(total, max(2, total*2/3+1)), total).Draw(t, "lost")
		at := time.Duration(rapid.IntRange(200, 400).Draw(t, "ms")) * time.Millisecond
		machines := make([]machine, total)
		for n := range machines {
			machines[n].streams = n == 0 || rapid.Bool().Draw(t, "streams")
			if n < lost {
				machines[n].from, machines[n].to = at, time.Hour
				machines[n].refuses = n > 0 && rapid.Bool().Draw(t, "refuses")
			}
		}
		if lost < min(3, total) {
			t.Skip("too few")
		}
		left, found := leaves(machines, 3*time.Second)
		if !found || left-at > maxVerdictTime {
			t.Fatalf("%d of %d servers were lost at %s; the stream left at %s (%v)", lost, total, at, left, found)
		}
	})
}

// Guards against TWICE: a stream leaves a machine that is only suspended.
func TestSuspendedMachinesAreNotLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, spacing := rapid.IntRange(1, 12).Draw(t, "servers"), rapid.IntRange(200, 700).Draw(t, "spacing")
		machines := make([]machine, total)
		for n := range machines {
			// Streams run at all that pause; their pauses begin some time apart.
			machines[n].streams = true
			if n == 0 || rapid.Bool().Draw(t, "pauses") {
				machines[n].from = time.Duration(300+spacing*n) * time.Millisecond
				machines[n].to = machines[n].from + time.Duration(rapid.IntRange(200, 2000).Draw(t, "ms"))*time.Millisecond
			}
		}
		if left, found := leaves(machines, 8*time.Second); found {
			t.Fatalf("left at %s", left)
		}
	})
}

// Guards against TWICE: all processes of a data centre stall at once and go on.
func TestStalledProcessesAreNotLeft(t *testing.T) {
	is := is.New(t)
	machines := make([]machine, 6)
	for n := range machines {
		machines[n] = machine{from: 300 * time.Millisecond, to: 2300 * time.Millisecond, streams: n%2 == 0, accepts: true}
	}
	_, found := leaves(machines, 4*time.Second)
	is.True(!found)
}

func TestOneOfManyIsNotLeft(t *testing.T) {
	is := is.New(t)
	for total := 1; total <= 8; total++ {
		machines := make([]machine, total)
		machines[0] = machine{from: 300 * time.Millisecond, to: time.Hour, streams: true}
		_, found := leaves(machines, 4*time.Second)
		is.True(!found)
	}
}

// What a peer found at another moment shows that a server did not fail together with others.
func TestFailureAtAPeerAtAnotherMomentIsNoLoss(t *testing.T) {
	for age, lost := range map[time.Duration]bool{50 * time.Millisecond: true, 900 * time.Millisecond: false} {
		is := is.New(t)
		tracker := centreloss.NewTracker(centreloss.DefaultPolicy())
		now := begin.Add(5 * time.Second)
		last := func(server string) time.Time {
			if server == "a" {
				return now.Add(-300 * time.Millisecond)
			}
			return time.Time{}
		}
		tracker.FailedAtPeer(now, now.Add(-age), last("b"), "b")
		tracker.Checked(now, now.Add(-150*time.Millisecond), last("a"), "a", centreloss.Unanswered)
		is.Equal(tracker.Lost(now, "a", []string{"b"}, last).Lost, lost)
		is.True(!tracker.Lost(now, "b", []string{"a"}, last).Lost) // it was not checked here
	}
}

func TestSignsExpire(t *testing.T) {
	is := is.New(t)
	tracker := centreloss.NewTracker(centreloss.DefaultPolicy())
	never := func(string) time.Time { return time.Time{} }
	for _, server := range []string{"a", "b"} {
		tracker.Checked(begin, begin.Add(-attemptTime), time.Time{}, server, centreloss.Unanswered)
	}
	is.True(tracker.Lost(begin, "a", []string{"b"}, never).Lost)
	later := begin.Add(2 * time.Second)
	is.True(!tracker.Lost(later, "a", []string{"b"}, never).Lost)
	tracker.Expire(later)
	is.True(!tracker.Lost(begin, "a", []string{"b"}, never).Lost)
}
