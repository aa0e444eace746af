package peers

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

func TestOrdersPassDigestsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rollouts.News{
			Order: rollout.Order{Service: "s", To: "v2", Duration: time.Duration(rapid.Int64Range(1000, 1e6).Draw(t, "ms")) * time.Millisecond, Created: rapid.Uint64().Draw(t, "created")},
			Seen:  7, Age: 3 * time.Second, Outcome: rollout.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), Final: rapid.Bool().Draw(t, "final"),
			Evidence: rollout.Evidence{Requests: 5, Exposed: 2, OldStreams: 1, Cells: map[rollout.Cell]rollout.Counts{}},
		}
		for range rapid.IntRange(0, 5).Draw(t, "cells") {
			counts := rollout.Counts{Failures: rapid.Uint32Range(0, maxCount).Draw(t, "failures")}
			counts.Latencies[rapid.IntRange(0, rollout.Buckets-1).Draw(t, "bucket")] = 9
			news.Evidence.Cells[rollout.Cell{Route: rapid.Uint32().Draw(t, "route"), DataCentre: 3, New: rapid.Bool().Draw(t, "new")}] = counts
		}
		decoded, err := Decode(Encode(&Digest{Instance: "i", Rollouts: []rollouts.News{news}}))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded.Rollouts, []rollouts.News{news}) {
			t.Fatalf("%+v", decoded.Rollouts)
		}
	})
}

func TestOrdersWithManyCellsFitIntoADigest(t *testing.T) {
	is := is.New(t)
	news := rollouts.News{Order: rollout.Order{Service: "s", To: "v2", Duration: time.Minute}, Evidence: rollout.Evidence{Cells: map[rollout.Cell]rollout.Counts{}}}
	for route := range uint32(500) {
		var counts rollout.Counts
		for bucket := range counts.Latencies {
			counts.Latencies[bucket] = 1000
		}
		news.Evidence.Cells[rollout.Cell{Route: route << 20}] = counts
	}
	payload := Encode(&Digest{Instance: "i", Rollouts: []rollouts.News{news, news}})
	is.True(len(payload) <= datagram.MaxBytes)
	_, err := Decode(payload)
	is.NoErr(err)
}

func TestWrongOrdersInDigestsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, news := range []rollouts.News{
		{Order: rollout.Order{Service: "", To: "v2", Duration: time.Minute}},
		{Order: rollout.Order{Service: "s", To: "v2"}},
	} {
		_, err := Decode(Encode(&Digest{Instance: "i", Rollouts: []rollouts.News{news}}))
		is.True(err != nil)
	}
}
