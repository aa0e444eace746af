package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

const poison, harmless serving.Fingerprint = 1, 2

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// quarantinePoison returns a tracker in which the poison request is quarantined, and
// the time.
func quarantinePoison(is *is.I) (*quarantine.Tracker, time.Time) {
	settings := quarantine.DefaultSettings()
	tracker := quarantine.NewTracker("instance", settings)
	now := start
	for _, server := range []string{"a", "b", "c"} {
		run(tracker, now, poison, "request", server)
		now = now.Add(time.Second)
		tracker.ServerFailed(now, server)
		now = now.Add(settings.JoinWindow + time.Second)
	}
	is.Equal(tracker.Check(now, poison, "request").Action, quarantine.Refuse)
	return tracker, now
}

func TestQuarantineIsExchangedExpiresAndIsReleased(t *testing.T) {
	is := is.New(t)
	tracker, now := quarantinePoison(is)
	peer := quarantine.NewTracker("peer", quarantine.DefaultSettings())
	peer.Import(now, tracker.Export(now))
	is.Equal(peer.Check(now, poison, "resend").Action, quarantine.Refuse)
	is.True(peer.Release(now.Add(time.Second), poison))
	tracker.Import(now.Add(time.Second), peer.Export(now.Add(time.Second)))
	is.Equal(tracker.Check(now.Add(2*time.Second), poison, "resend").Action, quarantine.Run)
	other, now := quarantinePoison(is)
	later := now.Add(quarantine.DefaultSettings().QuarantineExpiry + time.Hour)
	is.Equal(other.Check(later, poison, "resend").Action, quarantine.Run)
}

func TestSimultaneousFailuresQuarantineNoRequest(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.NewTracker("instance", quarantine.DefaultSettings())
	now := start
	for range 3 {
		for _, server := range []string{"a", "b", "c", "d"} {
			run(tracker, now, harmless, "request-"+server, server)
			tracker.ServerFailed(now, server)
		}
		now = now.Add(time.Minute)
		is.Equal(tracker.Check(now, harmless, "request").Action == quarantine.Refuse, false)
	}
}

func TestLongRunWithoutFailureClearsSuspect(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.NewTracker("instance", quarantine.DefaultSettings())
	run(tracker, start, harmless, "request", "a")
	now := start.Add(time.Second)
	tracker.ServerFailed(now, "a")
	is.Equal(tracker.Check(now, harmless, "request").Action, quarantine.RunIsolated)
	run(tracker, now, harmless, "request", "b")
	tracker.Ended(now.Add(500*time.Millisecond), "request", "b")
	is.Equal(tracker.Check(now.Add(time.Second), harmless, "request").Action, quarantine.RunIsolated) // shorter than the run before the failure
	run(tracker, now, harmless, "request", "b")
	tracker.Ended(now.Add(2*time.Second), "request", "b")
	is.Equal(tracker.Check(now.Add(3*time.Second), harmless, "request").Action, quarantine.Run)
}

// TestUnreachedServerFailsNoRequest guards against failures of a server that is down already: a
// request whose connection was still being opened can't have crashed it.
func TestUnreachedServerFailsNoRequest(t *testing.T) {
	is := is.New(t)
	settings := quarantine.DefaultSettings()
	tracker := quarantine.NewTracker("instance", settings)
	now := start
	for _, server := range []string{"a", "b"} {
		run(tracker, now, harmless, "request", server)
		is.Equal(tracker.ServerFailed(now, server), 1)
	}
	now = now.Add(settings.JoinWindow + time.Second)
	tracker.Started(now, harmless, "request", "a") // a is still down
	is.Equal(tracker.ServerFailed(now, "a"), 0)    // found by another request, which it refused
	tracker.Ended(now, "request", "a")
	now = now.Add(settings.JoinWindow + time.Second)
	is.True(tracker.Check(now, harmless, "request").Action != quarantine.Refuse)
}

// run records that a request reached a server and runs there.
func run(tracker *quarantine.Tracker, now time.Time, fingerprint serving.Fingerprint, request, server string) {
	tracker.Started(now, fingerprint, request, server)
	tracker.Reached(now, request, server)
}
