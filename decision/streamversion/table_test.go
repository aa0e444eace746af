package streamversion_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
)

var begin = time.Unix(1_700_000_000, 0)

func TestVersionOfAStreamNeverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, first, lastPut, now := streamversion.NewTable(), map[streamversion.Key]string{}, map[streamversion.Key]time.Time{}, begin
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			key := streamversion.Key(rapid.IntRange(0, 5).Draw(t, "stream"))
			version := "v" + strconv.Itoa(rapid.IntRange(1, 3).Draw(t, "version"))
			known, found := table.Origin(key)
			recent := !lastPut[key].IsZero() && now.Sub(lastPut[key]) <= streamversion.Lifetime
			if recent && (!found || known.Version != first[key]) {
				t.Fatalf("stream %d of %s is %s, known %v", key, first[key], known.Version, found)
			}
			if table.Put(now, streamversion.Record{Key: key, Origin: streamversion.Origin{Service: "s", Version: version}}) {
				first[key] = version
			}
			lastPut[key] = now
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := streamversion.NewTable()
	const streams = 200_000
	for n := range streams {
		table.Put(begin, streamversion.Record{Key: streamversion.Key(n)})
	}
	kept := 0
	for n := range streams {
		if _, known := table.Origin(streamversion.Key(n)); known {
			kept++
		}
	}
	is.True(kept <= 1<<16)
	_, known := table.Origin(streams - 1)
	is.True(known) // the newest ones stay
}
