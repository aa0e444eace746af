package rejections_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
)

// TestStatementsEnd checks when a limit holds: until the server's next answer without it, or until nothing states it any more.
func TestStatementsEnd(t *testing.T) {
	is := is.New(t)
	table, now := rejections.NewTable(), begin
	is.Equal(table.Answered(now, "a", "s", 0), rejections.Unchanged)
	is.True(!table.HasLimits("s"))
	is.Equal(table.Answered(now, "a", "s", 3), rejections.Stated)
	is.Equal(table.Answered(now, "a", "s", 2), rejections.Unchanged)
	is.Equal(table.Limit(now, "a", "s"), 2)
	is.Equal(table.Limit(now, "b", "s"), 2) // the others state it as well, until they answer without
	is.Equal(table.Limit(now, "c", "other"), 0)
	is.Equal(table.Answered(now, "b", "s", 0), rejections.Unchanged)
	is.Equal(table.Limit(now, "b", "s"), 0)
	is.Equal(table.Limit(now, "a", "s"), 2)
	is.Equal(table.Answered(now, "a", "s", 0), rejections.Ended)
	is.Equal(table.Limit(now, "a", "s"), 0)
	is.Equal(len(table.OwnStatements(now.Add(3*time.Second))), 0)
	now = now.Add(time.Minute)
	is.Equal(table.Limit(now, "a", "s"), 0)
	table.Expire(now)
	is.True(!table.HasLimits("s"))
}

// TestServerThatAnswersNobodyIsUsedAgain guards against a limit that lasts because nobody may ask the server.
func TestServerThatAnswersNobodyIsUsedAgain(t *testing.T) {
	is := is.New(t)
	table, now := rejections.NewTable(), begin
	table.Answered(now, "a", "s", 1)
	share, full := rejections.Share{Rank: 9, Instances: 10}, rejections.Load{All: 4}
	is.True(!table.HasRoom(now, "a", "s", 4, share, full))
	for range 4 {
		now = now.Add(5 * time.Second)
		table.PeerStated(now, "s", 1)
		is.True(!table.HasRoom(now, "a", "s", 4, share, full))
	}
	is.True(table.HasRoom(now.Add(10*time.Second), "a", "s", 4, share, full))
}

// TestInstancesTogetherKeepTheLimit lets instances that know nothing of each other's loads send as much as they may to a server
// that rejects everything beyond its places: it never rejects more than its limit in a second.
func TestInstancesTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, places, instances := rapid.IntRange(1, 12).Draw(t, "limit"), rapid.IntRange(1, 20).Draw(t, "places"), rapid.IntRange(1, 40).Draw(t, "instances")
		tables, own, running := make([]*rejections.Table, instances), make([]int, instances), 0
		for i := range tables {
			tables[i] = rejections.NewTable()
			tables[i].Answered(begin, "a", "s", limit)
		}
		var rejectedAt []time.Time
		now := begin
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			if own[i] > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				own[i]--
				running--
				continue
			}
			share := rejections.Share{Rank: i, Instances: instances}
			switch {
			case !tables[i].HasRoom(now, "a", "s", places, share, rejections.Load{Own: own[i], All: own[i]}):
			case running < places:
				own[i]++
				running++
			default:
				tables[i].Rejected(now, "a", "s")
				rejectedAt = append(rejectedAt, now)
			}
		}
		for first := range rejectedAt {
			for last := first + limit; last < len(rejectedAt); last++ {
				if rejectedAt[last].Sub(rejectedAt[first]) < time.Second {
					t.Fatalf("more than %d rejections in a second", limit)
				}
			}
		}
	})
}

// TestSharesAddUp checks that the instances divide places without a rest, and evenly.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances, places, limit := rapid.IntRange(1, 50).Draw(t, "instances"), rapid.IntRange(2, 100).Draw(t, "places"), rapid.IntRange(1, 20).Draw(t, "limit")
		sum := 0
		for rank := range instances {
			table := rejections.NewTable()
			table.Answered(begin, "a", "s", limit)
			own := 0
			for table.HasRoom(begin, "a", "s", places, rejections.Share{Rank: rank, Instances: instances}, rejections.Load{Own: own}) {
				own++
			}
			sum += own
		}
		if want := places + (limit+1)/2; sum != want {
			t.Fatalf("the parts add up to %d instead of %d", sum, want)
		}
	})
}

// TestExhaustedServerGetsNothing lets peers report rejections.
func TestExhaustedServerGetsNothing(t *testing.T) {
	is := is.New(t)
	table, now, share := rejections.NewTable(), begin, rejections.Share{Instances: 2}
	table.Answered(now, "a", "s", 3)
	table.SetPeerRejections("peer", "a", []time.Time{now})
	is.True(table.HasRoom(now, "a", "s", 8, share, rejections.Load{}))
	is.True(table.Rejected(now.Add(100*time.Millisecond), "a", "s"))
	now = now.Add(200 * time.Millisecond)
	is.True(!table.HasRoom(now, "a", "s", 8, share, rejections.Load{}))
	is.Equal(table.ExhaustedUntil(now, "a", "s"), begin.Add(rejections.Window))
	is.True(table.HasRoom(begin.Add(rejections.Window), "a", "s", 8, share, rejections.Load{}))
	is.Equal(len(table.OwnRejections(now)), 1)
	is.True(!table.Rejected(now, "b", "other")) // a server without a limit
}
