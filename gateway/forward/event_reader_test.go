package forward

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// TestEventsAreDeliveredOnceAndWhole guards against repeated, missing or partial
// events after a resumption: attempts of one stream are cut at arbitrary bytes,
// and each next attempt repeats some of the delivered events.
func TestEventsAreDeliveredOnceAndWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const last = 12
		var reader eventReader
		var got strings.Builder
		for attempt := 0; reader.position < last; attempt++ {
			reader.restart(got.Len() > 0)
			from := int(reader.position) + 1
			if attempt > 0 {
				from = max(1, from-rapid.IntRange(0, 3).Draw(t, "repeated"))
			}
			var text strings.Builder
			for id := from; id <= last; id++ {
				text.WriteString(eventText(id))
			}
			sent := text.String()
			if attempt < 5 {
				sent = sent[:rapid.IntRange(0, len(sent)).Draw(t, "kept")]
			}
			for len(sent) > 0 {
				size := rapid.IntRange(1, len(sent)).Draw(t, "piece")
				events, _, err := reader.push([]byte(sent[:size]), nil)
				if err != nil {
					t.Fatal(err)
				}
				got.Write(events)
				sent = sent[size:]
			}
		}
		var want strings.Builder
		for id := 1; id <= last; id++ {
			want.WriteString(eventText(id))
		}
		if got.String() != want.String() {
			t.Fatalf("got %q", got.String())
		}
	})
}

func TestMissingEventIsDetected(t *testing.T) {
	is := is.New(t)
	var reader eventReader
	_, count, err := reader.push([]byte(eventText(1)+eventText(2)+eventText(4)), nil)
	is.Equal(count, 2)
	is.True(errors.Is(err, errEventMissing))
	is.Equal(reader.position, uint64(2))
}

func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	is := is.New(t)
	var reader eventReader
	_, _, err := reader.push([]byte(eventText(1)+"id: 2\ndata"), nil)
	is.NoErr(err)
	is.True(errors.Is(reader.complete(), errPartialEvent))
	reader.restart(false)
	is.NoErr(reader.complete())
}

// Guards against what the next server of a stream sends before its first event with an id.
func TestNextServerAddsNothingBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	var reader eventReader
	reader.restart(false)
	first, _, err := reader.push([]byte(": hello\n\nretry: 5\n\nid: 1\ndata: a\n\n"), nil)
	is.NoErr(err)
	is.Equal(string(first), ": hello\n\nretry: 5\n\nid: 1\ndata: a\n\n")
	reader.restart(true)
	next, _, err := reader.push([]byte("HTTP/1.1 500 Error\r\n\r\nevent: error\n\nid: 2\ndata: b\n\n: kept\n\n"), nil)
	is.NoErr(err)
	is.Equal(string(next), "id: 2\ndata: b\n\n")
	is.NoErr(reader.complete())
	is.Equal(string(reader.rest()), ": kept\n\n")
	reader.restart(true)
	_, _, err = reader.push([]byte("event: error\ndata: full\n\n"), nil)
	is.NoErr(err)
	is.True(reader.complete() != nil)
	is.Equal(len(reader.rest()), 0)
	reader.restart(true)
	_, _, err = reader.push([]byte(": nothing is left\n\n"), nil)
	is.NoErr(err)
	is.NoErr(reader.complete())
}
