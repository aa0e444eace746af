package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/experiment/killingrequest"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// drawn takes the choices of a schedule from rapid.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// TestInnocentsAreNeverRefused sends innocent requests through several books
// while two racks go down whole and no request kills. A rack of which a single
// server is seen to end can't be told from a killing request, so that two
// racks put at most one death on an innocent request.
func TestInnocentsAreNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		settings := small()
		settings.Killers, settings.Racks = 0, 2
		result := killingrequest.RunSchedule(drawn{t}, settings)
		is.Equal(result.InnocentsRefused, 0)
		is.Equal(result.Unanswered-result.InnocentsHeld, 0)
	})
}

// TestAKillingRequestLosesThreeServers sends one killing request with its
// resends.
func TestAKillingRequestLosesThreeServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		settings := small()
		settings.Killers, settings.Racks = 1, 0
		result := killingrequest.RunSchedule(drawn{t}, settings)
		is.True(result.MostLost() <= 3)
		is.Equal(result.InnocentsRefused, 0)
	})
}

// small has sizes that leave time for many schedules.
func small() killingrequest.Settings {
	settings := killingrequest.DefaultSettings()
	settings.Instances, settings.Servers = 4, 12
	settings.Arrival, settings.Length = 200*time.Millisecond, 10*time.Second
	return settings
}

// TestDeathsBesideARackDoNotCount repeats the schedules in which a killing
// request's deaths fell together with a rack's and cost a fourth server.
func TestDeathsBesideARackDoNotCount(t *testing.T) {
	is := is.New(t)
	for _, schedule := range []uint64{34, 55} {
		result := killingrequest.RunSchedule(virtual.Seeded(2, schedule), killingrequest.DefaultSettings())
		is.True(result.MostLost() <= 3)
		is.Equal(result.InnocentsRefused, 0)
	}
}
