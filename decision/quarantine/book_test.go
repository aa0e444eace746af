package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

const killer, innocent serving.Fingerprint = 1, 2

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// condemned returns a book in which the killer is quarantined, and the time.
func condemned(is *is.I) (*quarantine.Tracker, time.Time) {
	settings := quarantine.DefaultSettings()
	book := quarantine.NewTracker("instance", settings)
	now := start
	for _, server := range []string{"a", "b", "c"} {
		book.Started(now, killer, "request", server)
		now = now.Add(time.Second)
		book.ServerFailed(now, server)
		now = now.Add(settings.JoinWindow + time.Second)
	}
	is.Equal(book.Check(now, killer, "request").Action, quarantine.Refuse)
	return book, now
}

func TestQuarantineSpreadsExpiresAndIsReleased(t *testing.T) {
	is := is.New(t)
	book, now := condemned(is)
	peer := quarantine.NewTracker("peer", quarantine.DefaultSettings())
	peer.Import(now, book.Export(now))
	is.Equal(peer.Check(now, killer, "resend").Action, quarantine.Refuse)
	is.True(peer.Release(now.Add(time.Second), killer))
	book.Import(now.Add(time.Second), peer.Export(now.Add(time.Second)))
	is.Equal(book.Check(now.Add(2*time.Second), killer, "resend").Action, quarantine.Run)
	other, now := condemned(is)
	later := now.Add(quarantine.DefaultSettings().QuarantineExpiry + time.Hour)
	is.Equal(other.Check(later, killer, "resend").Action, quarantine.Run)
}

func TestOneSharedDeathProvesNothing(t *testing.T) {
	is := is.New(t)
	book := quarantine.NewTracker("instance", quarantine.DefaultSettings())
	now := start
	for range 3 {
		for _, server := range []string{"a", "b", "c", "d"} {
			book.Started(now, innocent, "request-"+server, server)
			book.ServerFailed(now, server)
		}
		now = now.Add(time.Minute)
		is.Equal(book.Check(now, innocent, "request").Action == quarantine.Refuse, false)
	}
}

func TestAHarmlessEndClearsASuspect(t *testing.T) {
	is := is.New(t)
	book := quarantine.NewTracker("instance", quarantine.DefaultSettings())
	book.Started(start, innocent, "request", "a")
	now := start.Add(time.Second)
	book.ServerFailed(now, "a")
	is.Equal(book.Check(now, innocent, "request").Action, quarantine.RunIsolated)
	book.Started(now, innocent, "request", "b")
	book.Ended(now.Add(500*time.Millisecond), "request", "b")
	is.Equal(book.Check(now.Add(time.Second), innocent, "request").Action, quarantine.RunIsolated) // it left too early
	book.Started(now, innocent, "request", "b")
	book.Ended(now.Add(2*time.Second), "request", "b")
	is.Equal(book.Check(now.Add(3*time.Second), innocent, "request").Action, quarantine.Run)
}
