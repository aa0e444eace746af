package poison_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
)

var begin = time.Unix(1_700_000_000, 0)

const deadly, sound poison.Key = 7, 8

func settings() poison.Settings { return poison.DefaultSettings() }

// crashed returns a table in which servers have crashed under a request, one a second, and the time of the last.
func crashed(key poison.Key, count int) (*poison.Table, time.Time) {
	table, now := poison.NewTable(settings()), begin
	for n := range count {
		now = begin.Add(time.Duration(n) * time.Second)
		table.AddCrash(now, poison.Crash{Server: uint64(n + 1), Run: poison.Run{Request: key}, At: now})
	}
	return table, now
}

func TestThirdCrashQuarantinesARequest(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 2)
	is.True(!table.Check(now, poison.Run{Request: deadly}).Rejected)
	is.True(table.AddCrash(now, poison.Crash{Server: 9, Run: poison.Run{Request: deadly}, At: now}))
	verdict := table.Check(now, poison.Run{Request: deadly})
	is.True(verdict.Rejected)
	is.Equal(verdict.Until, now.Add(settings().QuarantineTime))
	is.True(!table.Check(now, poison.Run{Request: sound}).Rejected)
	is.True(!table.Check(verdict.Until, poison.Run{Request: deadly}).Rejected)
}

// Guards against a quarantine after one crash that several instances have seen.
func TestReportsAboutOneServerAreOneCrash(t *testing.T) {
	is := is.New(t)
	table := poison.NewTable(settings())
	for n := range 5 {
		at := begin.Add(time.Duration(n) * 300 * time.Millisecond)
		is.Equal(table.AddCrash(at, poison.Crash{Server: 1, Run: poison.Run{Request: deadly}, At: at}), n == 0)
	}
	is.True(!table.Check(begin.Add(time.Second), poison.Run{Request: deadly}).Rejected)
}

// Guards against the rejection of a popular request that is in flight whenever a server ends.
func TestRequestThatRunsWithoutACrashIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	table, now := crashed(sound, 2)
	is.True(table.AddCleanRun(now, poison.CleanRun{Key: sound, At: now}))
	for n := range 10 {
		is.True(!table.AddCrash(now, poison.Crash{Server: uint64(10 + n), Run: poison.Run{Request: sound}, At: now}))
	}
	is.True(!table.Check(now, poison.Run{Request: sound}).Rejected)
	is.Equal(table.News(now, false).CleanRuns, []poison.CleanRun{{Key: sound, At: now}}) // others are told
}

func TestRunWithoutACrashEndsAQuarantine(t *testing.T) {
	is := is.New(t)
	table, now := crashed(sound, 3)
	is.True(table.Check(now, poison.Run{Request: sound}).Rejected)
	is.True(table.AddCleanRun(now, poison.CleanRun{Key: sound, At: now}))
	is.True(!table.Check(now, poison.Run{Request: sound}).Rejected)
	is.True(!table.AddQuarantine(now, poison.Quarantine{Keys: []poison.Key{sound}, Since: now, Renewals: 4})) // a peer that does not know it yet
}

// Guards against three more crashes after each quarantine.
func TestFirstCrashAfterAQuarantineRenewsIt(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 3)
	now = now.Add(settings().QuarantineTime)
	is.True(!table.Check(now, poison.Run{Request: deadly}).Rejected)
	table.AddCrash(now, poison.Crash{Server: 20, Run: poison.Run{Request: deadly}, At: now})
	is.True(table.Check(now, poison.Run{Request: deadly}).Rejected)
}

func TestShorterQuarantineTimeEndsQuarantines(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 3)
	table.SetQuarantineTime(10 * time.Second)
	is.True(table.Check(now.Add(9*time.Second), poison.Run{Request: deadly}).Rejected)
	is.True(!table.Check(now.Add(10*time.Second), poison.Run{Request: deadly}).Rejected)
	is.Equal(len(table.Quarantines(now.Add(11*time.Second+settings().MinProbation))), 0)
}

// Guards against BUDGET: after a quarantine many requests are sent at once, at many instances.
func TestTrialsAfterAQuarantineAreOneAtATime(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 3)
	run := poison.Run{Request: deadly}
	end := table.Check(now, run).Until
	trials := 0
	for ms := range 6000 {
		if !table.Admit(end.Add(time.Duration(ms)*time.Millisecond), run, poison.Place{Instances: 1}).Rejected {
			trials++
		}
	}
	is.Equal(trials, 2) // one in each turn of three seconds
	for _, instances := range []int{2, 9, 100, 2400} {
		most, trying := 0, make([]bool, instances)
		for turn := range 16 {
			at, count := end.Add(time.Duration(turn)*settings().TrialTime), 0
			for rank := range instances {
				other := poison.NewTable(settings())
				other.Learn(now, table.News(now, true))
				if !other.Admit(at, run, poison.Place{Rank: rank, Instances: instances}).Rejected {
					count++
					trying[rank] = true
				}
			}
			most = max(most, count)
		}
		is.True(most <= (instances+15)/16)       // few at a time
		is.True(!slices.Contains(trying, false)) // each has a turn
	}
}

func TestCrashesExpire(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 2)
	now = now.Add(settings().CrashLifetime + time.Second)
	table.AddCrash(now, poison.Crash{Server: 20, Run: poison.Run{Request: deadly}, At: now})
	is.True(!table.Check(now, poison.Run{Request: deadly}).Rejected)
}

// Guards against an instance that starts after the crashes and sends the request to servers again.
func TestTableThatStartsLaterLearnsQuarantines(t *testing.T) {
	is := is.New(t)
	table, now := crashed(deadly, 3)
	now = now.Add(time.Minute)
	is.Equal(len(table.News(now, false).Quarantines), 0) // most digests don't hold old ones
	news := table.News(now, true)
	is.Equal(len(news.Crashes), 0) // these are old
	started := poison.NewTable(settings())
	is.True(started.Learn(now, news))
	is.True(!started.Learn(now, news))
	is.True(started.Check(now, poison.Run{Request: deadly}).Rejected)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := poison.NewTable(settings())
	now := begin
	for n := range 20_000 {
		now = begin.Add(time.Duration(n) * time.Millisecond)
		key := poison.Key(n + 1)
		for server := range 3 {
			table.AddCrash(now, poison.Crash{Server: uint64(server + 1), Run: poison.Run{Request: key}, At: now})
		}
		table.AddCleanRun(now, poison.CleanRun{Key: key + 1<<32, At: now})
	}
	is.True(len(table.Quarantines(now)) <= settings().MaxKeys)
	is.True(table.Check(now, poison.Run{Request: 20_000}).Rejected) // the newest stay
	news := table.News(now, true)
	is.True(len(news.Crashes) <= settings().MaxNews && len(news.Quarantines) <= settings().MaxNews)
}

// Guards against streams that ran beside the one that crashes servers late in its answer, and are taken for it.
func TestCrashIsPutDownToTheRequestUnderWhichMostWere(t *testing.T) {
	is := is.New(t)
	table, _ := crashed(poison.LateKey(deadly, ""), 2)
	late, beside := poison.Run{Request: poison.LateKey(deadly, "")}, poison.Run{Request: poison.LateKey(sound, "")}
	is.Equal(table.Suspects([]poison.Run{beside, late}), []poison.Run{late})
	is.Equal(len(poison.NewTable(settings()).Suspects([]poison.Run{beside, late})), 2) // nothing tells them apart yet
	is.True(poison.LateKey(deadly, "a") != poison.LateKey(deadly, "b"))
	is.True(poison.LateKey(deadly, "") != deadly)
}
