package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// Speeds and statements arrive as they were sent, in whole milliseconds and tenths, and the datagram keeps its bound.
func TestSpeedsAndStatementsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		sent := &Digest{Instance: "i"}
		milliseconds := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 2000).Draw(t, name)) * time.Millisecond
		}
		for i := range rapid.IntRange(0, load.MaxShares).Draw(t, "speeds") {
			sent.Speeds = append(sent.Speeds, load.Share{
				Server: string(rune('a' + i)), Interval: milliseconds("interval"), Pause: milliseconds("pause"), IntervalAge: milliseconds("age"),
				WorkPercent: rapid.IntRange(0, 500).Draw(t, "percent"), PercentAge: milliseconds("percent age"),
			})
		}
		for i := range rapid.IntRange(0, maxCentreStatements).Draw(t, "statements") {
			sent.Centres = append(sent.Centres, overflow.Statement{
				Service: string(rune('a' + i)), Servers: rapid.IntRange(0, 100).Draw(t, "servers"), Wait: milliseconds("wait"),
				Capacity: float64(rapid.IntRange(0, 64).Draw(t, "capacity")), Share: rapid.IntRange(0, 100).Draw(t, "share"),
			})
		}
		payload := Encode(sent)
		is.True(len(payload) <= datagram.MaxBytes)
		received, err := Decode(payload)
		is.NoErr(err)
		is.Equal(received.Speeds, sent.Speeds)
		is.Equal(received.Centres, sent.Centres)
	})
}

// A peer can't make an instance keep more than the bounds.
func TestSpeedsAndStatementsAreBounded(t *testing.T) {
	is := is.New(t)
	sent := &Digest{Instance: "i"}
	for range 40 {
		sent.Speeds = append(sent.Speeds, load.Share{Server: "a", WorkPercent: 100})
		sent.Centres = append(sent.Centres, overflow.Statement{Service: "s"})
	}
	received, err := Decode(Encode(sent))
	is.NoErr(err)
	is.Equal(len(received.Speeds), load.MaxShares)
	is.Equal(len(received.Centres), maxCentreStatements)
}
