package peers

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRelayTargetsAreOrderedByDistance(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	centres := []string{"a", "b", "c"}
	for i := range 30 {
		receiveDigest(table, begin, i, func(d *Digest) { d.DataCentre, d.Version = centres[i%3], 1 })
	}
	targets := table.relayTargets(begin, "s", "a", map[string]string{"a": "west", "b": "east", "c": "west"})
	is.Equal(len(targets), maxRelayTargets)
	for i, target := range targets {
		if i < maxLocalRelayTargets {
			is.Equal(target.DataCentre, "a")
		} else {
			is.Equal(target.DataCentre, "c")
		}
	}
}

func TestRelayTargetsMayServe(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Digest)
		later  time.Duration
		want   bool
	}{
		"sound":                     {func(*Digest) {}, 0, true},
		"cut off from the service":  {func(d *Digest) { d.CutOff.Services = []string{"r", "s"} }, 0, false},
		"cut off from another":      {func(d *Digest) { d.CutOff.Services = []string{"r"} }, 0, true},
		"cut off from all services": {func(d *Digest) { d.CutOff.All = true }, 0, false},
		"leaving":                   {func(d *Digest) { d.Leaving = true }, 0, false},
		"without a configuration":   {func(d *Digest) { d.Version = 0 }, 0, false},
		"silent":                    {func(*Digest) {}, targetLifetimeIntervals*localRefresh + 1, false},
		"silent in a remote centre": {func(d *Digest) { d.DataCentre = "b" }, targetLifetimeIntervals * remoteRefresh, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable("own", addressOf(100), nil)
			receiveDigest(table, begin, 1, func(d *Digest) { d.Version = 1; test.change(d) })
			is.Equal(len(table.relayTargets(begin.Add(test.later), "s", "a", nil)) == 1, test.want)
		})
	}
}

func TestAnInstanceRelaysAgainAfterItsCut(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	targets := func(now time.Time) int { return len(table.relayTargets(now, "s", "a", nil)) }
	receiveDigest(table, begin, 1, func(d *Digest) { d.Version, d.CutOff.All = 1, true })
	is.Equal(targets(begin), 0)
	receiveDigest(table, begin.Add(1), 1, func(d *Digest) { d.Version = 1 })
	is.Equal(targets(begin.Add(1)), 1)
}

func TestCutOffIsBounded(t *testing.T) {
	is := is.New(t)
	var cutOff CutOff
	for i := range maxCutOffServices {
		cutOff.Services = append(cutOff.Services, strconv.Itoa(i))
	}
	is.True(cutOff.bounded().Equal(cutOff))
	cutOff.Services = append(cutOff.Services, "another")
	is.True(cutOff.bounded().Equal(CutOff{All: true}))
	is.True(cutOff.bounded().Includes("any"))
	is.Equal(len(Encode(&Digest{Instance: "i", CutOff: CutOff{All: true}})), len(Encode(&Digest{Instance: "i", Leaving: true})))
}
