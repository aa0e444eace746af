package forward

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an event's end that is missed because it arrives in pieces, and against a comment
// that is sent without the event after it.
func TestPiecesAndCommentsDoNotChangeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var text strings.Builder
		last := rapid.IntRange(1, 8).Draw(t, "last")
		for id := 1; id <= last; id++ {
			text.WriteString(strings.Repeat(": comment\n\n", rapid.IntRange(0, 2).Draw(t, "comments")))
			text.WriteString(eventText(id))
		}
		text.WriteString("data: end\n\n")
		whole := strings.ReplaceAll(text.String(), "\n", lineEnd)
		var reader eventReader
		var got strings.Builder
		delivered := 0
		for rest := whole; len(rest) > 0; {
			size := rapid.IntRange(1, min(5, len(rest))).Draw(t, "piece")
			events, count, err := reader.push([]byte(rest[:size]), nil)
			if err != nil {
				t.Fatal(err)
			}
			if count == 0 && len(events) > 0 {
				t.Fatalf("bytes without an event: %q", events)
			}
			got.Write(events)
			delivered += count
			rest = rest[size:]
		}
		got.Write(reader.rest())
		if err := reader.complete(); err != nil || got.String() != whole || delivered != last {
			t.Fatalf("got %q and %d events: %v", got.String(), delivered, err)
		}
	})
}

// Guards against memory and time that bytes without a new event take without a bound.
func TestBytesWithoutNewEventsAreBounded(t *testing.T) {
	for name, piece := range map[string]string{"junk": "x", "lines": "x\n", "comments": ": x\n\n", "no id": "data: x\n\n", "repeated": eventText(1)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reader eventReader
			_, _, err := reader.push([]byte(eventText(1)), nil)
			is.NoErr(err)
			pushed := 0
			for err == nil {
				var events []byte
				events, _, err = reader.push([]byte(piece), nil)
				is.Equal(len(events), 0)
				pushed += len(piece)
				is.True(cap(reader.partial) <= 4*maxEventBytes)
			}
			is.True(pushed <= maxRepeatedBytes+len(piece))
			is.True(errors.Is(err, errEventTooLong) || errors.Is(err, errRepeated))
		})
	}
}
