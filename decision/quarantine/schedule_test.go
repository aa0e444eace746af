package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/experiment/killingrequest"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// drawn draws the choices of a schedule from rapid.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// TestHarmlessRequestsAreNeverRefused guards against the quarantine of a harmless request
// when two whole racks fail and there is no poison request. A rack of which only
// one server is seen to fail can't be distinguished from a poison request; with
// two racks, at most one such failure counts against a harmless request.
func TestHarmlessRequestsAreNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		settings := smallSettings()
		settings.PoisonRequests, settings.RackFailures = 0, 2
		result := killingrequest.RunSchedule(drawn{t}, settings)
		is.Equal(result.HarmlessRefused, 0)
		is.Equal(result.Unanswered-result.HarmlessDeferred, 0)
	})
}

// TestPoisonRequestCrashesAtMostThreeServers guards against a poison request that, with
// its second sends, crashes more than three servers.
func TestPoisonRequestCrashesAtMostThreeServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		settings := smallSettings()
		settings.PoisonRequests, settings.RackFailures = 1, 0
		result := killingrequest.RunSchedule(drawn{t}, settings)
		is.True(result.MaxCrashes() <= 3)
		is.Equal(result.HarmlessRefused, 0)
	})
}

// smallSettings returns settings so small that many schedules run in a short time.
func smallSettings() killingrequest.Settings {
	settings := killingrequest.DefaultSettings()
	settings.Instances, settings.Servers = 4, 12
	settings.ArrivalInterval, settings.Length = 200*time.Millisecond, 10*time.Second
	return settings
}

// TestPoisonRequestBesideRackFailure repeats the schedules in which a poison request
// crashed servers while a rack failed, and then crashed a fourth server.
func TestPoisonRequestBesideRackFailure(t *testing.T) {
	is := is.New(t)
	for _, schedule := range []uint64{34, 55} {
		result := killingrequest.RunSchedule(virtual.Seeded(2, schedule), killingrequest.DefaultSettings())
		is.True(result.MaxCrashes() <= 3)
		is.Equal(result.HarmlessRefused, 0)
	}
}
