package load_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
)

var pictureStart = time.Unix(1_700_000_000, 0)

// A server is 2.5 times slower for a while. The picture follows within a second of observations, and again back.
func TestPictureFollowsAChangeOfSpeedWithinASecond(t *testing.T) {
	is := is.New(t)
	picture, now := load.NewPicture(), pictureStart
	state := func(percent int, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
			is.NoErr(picture.Stated(now, "a", "s", load.Statement{Running: 1, WorkPercent: percent}, load.Known{Requests: 1}))
		}
	}
	state(100, 5*time.Second)
	is.True(picture.Work(now, "a", 0) < 1.15)
	state(250, time.Second)
	is.True(picture.Work(now, "a", 0) > 2)
	state(100, time.Second)
	is.True(picture.Work(now, "a", 0) < 1.25)
}

// A present speed that isn't stated again is forgotten within two seconds: the server counts as usual for itself.
func TestPresentSpeedIsForgottenWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	picture, now := load.NewPicture(), pictureStart
	for range 20 {
		is.NoErr(picture.Stated(now, "a", "s", load.Statement{WorkPercent: 120}, load.Known{}))
		now = now.Add(200 * time.Millisecond)
	}
	is.NoErr(picture.Stated(now, "a", "s", load.Statement{WorkPercent: 600}, load.Known{}))
	is.True(picture.Work(now, "a", 0) > 3)
	now = now.Add(2 * time.Second)
	is.True(picture.Work(now, "a", 0) < 1.6)
}

// Servers without statements that produce events at intervals with 12% of noise count as usual; one that takes twice as long
// counts as slow.
func TestNoiseOfIntervalsChangesNothing(t *testing.T) {
	is := is.New(t)
	picture, now, random := load.NewPicture(), pictureStart, rand.New(rand.NewPCG(1, 1))
	for range 400 {
		for _, server := range []string{"a", "b", "c", "d", "e", "f", "g", "slow"} {
			interval := 30 * (0.88 + 0.24*random.Float64()) * float64(time.Millisecond)
			if server == "slow" {
				interval *= 2
			}
			picture.Produced(now, server, "s", time.Duration(interval), time.Duration(interval))
		}
		now = now.Add(250 * time.Millisecond)
		if work := picture.Work(now, "a", time.Second); work < 0.9 || work > 1.1 {
			t.Fatalf("an even server counts as %v", work)
		}
	}
	is.True(picture.Work(now, "slow", time.Second) > 1.5)
}

// Absurd and old statements are errors and change nothing, whatever was known before.
func TestImpossibleStatementsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		picture, now := load.NewPicture(), pictureStart
		is.NoErr(picture.Stated(now, "a", "s", load.Statement{Running: 3, Waiting: 1, WorkPercent: 140, MemoryUsed: 500}, load.Known{}))
		view, work := picture.View(now, "a"), picture.Work(now, "a", time.Second)
		statement := rapid.SampledFrom([]load.Statement{
			{Running: -1}, {Waiting: -1}, {Running: 1 << 30}, {Waiting: 1 << 30}, {WorkPercent: -5}, {WorkPercent: 1},
			{WorkPercent: 90_000}, {MemoryUsed: -1}, {MemoryUsed: 1 << 40}, {Running: 9, Age: time.Minute}, {Running: 9, Age: -time.Second},
		}).Draw(t, "statement")
		is.True(picture.Stated(now, "a", "s", statement, load.Known{}) != nil)
		is.Equal(picture.View(now, "a"), view)
		is.Equal(picture.Work(now, "a", time.Second), work)
		is.True(!picture.Learn(now, "s", &load.Share{Server: "a", Interval: time.Hour}))
		is.True(!picture.Learn(now, "s", &load.Share{Server: "a", WorkPercent: 100, PercentAge: time.Hour}))
		is.Equal(picture.Work(now, "a", time.Second), work)
	})
}

// Requests that only the server knows of count until the digests about them have come.
func TestUnknownRequestsFade(t *testing.T) {
	is := is.New(t)
	picture, now := load.NewPicture(), pictureStart
	is.NoErr(picture.Stated(now, "a", "s", load.Statement{Running: 6, Waiting: 2, MemoryUsed: 9000}, load.Known{Requests: 3, MemoryTokens: 4000}))
	view := picture.View(now, "a")
	is.Equal([]int{view.Requests, view.Waiting, view.MemoryTokens}, []int{5, 2, 5000})
	view = picture.View(now.Add(500*time.Millisecond), "a")
	is.Equal([]int{view.Requests, view.Waiting, view.MemoryTokens}, []int{3, 1, 2500})
	is.Equal(picture.View(now.Add(time.Second), "a").Requests, 0)
}

// A peer's figures count like own ones, but not before newer own ones, and are bounded in number.
func TestPeersShareWhatTheyObserve(t *testing.T) {
	is := is.New(t)
	here, there, now := load.NewPicture(), load.NewPicture(), pictureStart
	for i := range 40 {
		is.NoErr(there.Stated(now, string(rune('A'+i)), "s", load.Statement{WorkPercent: 250}, load.Known{}))
	}
	shares := there.Shares(now)
	is.Equal(len(shares), load.MaxShares)
	for i := range shares {
		is.True(here.Learn(now, "s", &shares[i]))
		is.True(here.Work(now, shares[i].Server, 0) > 2)
	}
	is.Equal(len(here.Shares(now)), 0)
	is.NoErr(here.Stated(now, "A", "s", load.Statement{WorkPercent: 100}, load.Known{}))
	before := here.Work(now, "A", 0)
	is.True(here.Learn(now, "s", &load.Share{Server: "A", WorkPercent: 400, PercentAge: time.Second}))
	is.Equal(here.Work(now, "A", 0), before)
}

// The reading speed of a service is the declared one unless prompts are read clearly slower.
func TestReadingSpeedIsLearnedWhenItIsSlower(t *testing.T) {
	is := is.New(t)
	picture := load.NewPicture()
	is.Equal(picture.ReadingSpeed("s", 8), 8.0)
	for range 20 {
		picture.Read("s", 8000, 1600*time.Millisecond)
		picture.Read("even", 8000, 1010*time.Millisecond)
		picture.Read("kept", 8000, 100*time.Millisecond)
	}
	is.True(picture.ReadingSpeed("s", 8) < 5.2 && picture.ReadingSpeed("s", 8) > 4.8)
	is.Equal(picture.ReadingSpeed("even", 8), 8.0)
	is.Equal(picture.ReadingSpeed("kept", 8), 8.0)
}
