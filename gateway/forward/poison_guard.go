package forward

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// poisonGuard finds the requests that crash the backend servers that run them. It is safe for
// concurrent use.
type poisonGuard struct {
	logger zerolog.Logger
	meters *meters
	mu     sync.Mutex
	table  *poison.Table
	// place returns the position of this instance among all.
	place func() poison.Place
	// announce is called when there are news for peers. It must not block.
	announce func()
}

func newPoisonGuard(options Options, meters *meters) *poisonGuard {
	g := &poisonGuard{
		logger: options.Logger, meters: meters, table: poison.NewTable(poison.DefaultSettings()), announce: options.AnnouncePoison,
		place: func() poison.Place {
			group := options.Group()
			return poison.Place{Rank: group.EstateRank, Instances: group.Instances}
		},
	}
	g.setQuarantineTime(options.QuarantineTime)
	return g
}

// runOf returns the keys of a request whose account is known.
func runOf(j *job) poison.Run {
	head, parts := j.exchange.Head, j.request.SharedParts
	run := poison.Run{Request: poison.RequestKey(j.account, head.Method, head.Target, j.exchange.Body)}
	for _, id := range parts[max(0, len(parts)-poison.MaxParts):] {
		run.Parts = append(run.Parts, poison.PartKey(id))
	}
	return run
}

// admit returns whether a request that has just arrived is rejected.
func (g *poisonGuard) admit(j *job) poison.Verdict {
	place := g.place()
	g.mu.Lock()
	defer g.mu.Unlock()
	if verdict := g.table.Admit(time.Now(), j.run, place); verdict.Rejected || j.late.Request == 0 {
		return verdict
	}
	return g.table.Admit(time.Now(), j.late, place)
}

// check returns whether a request is rejected now.
func (g *poisonGuard) check(j *job) poison.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if verdict := g.table.Check(time.Now(), j.run); verdict.Rejected || j.late.Request == 0 {
		return verdict
	}
	return g.table.Check(time.Now(), j.late)
}

// suspects returns those of the runs that the crash of their server is put down to.
func (g *poisonGuard) suspects(runs []poison.Run) []poison.Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Suspects(runs)
}

// recordCleanRun records that a server ran a request without a crash: to its end, or a stream for longer than crashTime.
func (g *poisonGuard) recordCleanRun(j *job) { g.clear(j, j.run) }

// recordCompleteStream records that a server ran a stream to its end.
func (g *poisonGuard) recordCompleteStream(j *job) { g.clear(j, j.late) }

// clear records a run without a crash for its keys.
func (g *poisonGuard) clear(j *job, run poison.Run) {
	now := time.Now()
	g.mu.Lock()
	cleared := g.table.AddCleanRun(now, poison.CleanRun{Key: run.Request, At: now})
	for _, part := range run.Parts {
		cleared = g.table.AddCleanRun(now, poison.CleanRun{Key: part, At: now}) || cleared
	}
	g.mu.Unlock()
	if cleared {
		event.Log(g.logger, event.RequestCleared).Str("request", j.request.ID).Stringer("content", run.Request).Send()
		g.announce()
	}
}

// recordCrash records that a server ended while it ran a request.
func (g *poisonGuard) recordCrash(run brokenRun, server *directory.Server) {
	now := time.Now()
	g.mu.Lock()
	added := g.table.AddCrash(now, poison.Crash{Server: xxhash.Sum64String(server.ID), Run: run.keys, At: run.at})
	verdict := g.table.Check(now, run.keys)
	g.mu.Unlock()
	g.meters.count("servers.crashed_under_requests")
	event.Log(g.logger, event.ServerCrashed).Str("request", run.request).Stringer("content", run.keys.Request).
		Str("server", server.ID).Bool("counted", added).Bool("quarantined", verdict.Rejected).Stringers("keys", keyTexts(verdict.Keys)).Send()
	if added {
		g.announce()
	}
}

// keyTexts returns keys for a log line.
func keyTexts(keys []poison.Key) []fmt.Stringer {
	texts := make([]fmt.Stringer, 0, len(keys))
	for _, key := range keys {
		texts = append(texts, key)
	}
	return texts
}

// News implements peers.PoisonTable.
func (g *poisonGuard) News(complete bool) poison.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.News(time.Now(), complete)
}

// Learn implements peers.PoisonTable.
func (g *poisonGuard) Learn(news poison.News) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Learn(time.Now(), news)
}

// setQuarantineTime changes the duration of quarantines; 0 for the default.
func (g *poisonGuard) setQuarantineTime(duration time.Duration) {
	if duration <= 0 {
		duration = poison.DefaultSettings().QuarantineTime
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetQuarantineTime(duration)
}

// Quarantines returns the requests that are quarantined, oldest first.
func (f *Forwarder) Quarantines() []poison.Quarantine {
	f.poison.mu.Lock()
	defer f.poison.mu.Unlock()
	return f.poison.table.Quarantines(time.Now())
}

// LearnQuarantines adds quarantines that were known before this process started.
func (f *Forwarder) LearnQuarantines(quarantines []poison.Quarantine) {
	if f.poison.Learn(poison.News{Quarantines: quarantines}) {
		f.poison.announce()
	}
}

// rejectPoison rejects a request that is quarantined, and reports whether it is.
func (f *Forwarder) rejectPoison(j *job) bool {
	verdict := f.poison.admit(j)
	if verdict.Rejected {
		f.reject(j, localAnswer{status: 503, code: fault.RequestQuarantined, retryAfter: time.Until(verdict.Until)})
	}
	return verdict.Rejected
}
