package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

const (
	// reportAge is about how old a load report is when it arrives.
	reportAge = 100 * time.Millisecond
	// readAhead and produceAhead are the times over which the speed of a server counts for reading a prompt or running a
	// call, and for producing an answer.
	readAhead    = 500 * time.Millisecond
	callAhead    = 30 * time.Millisecond
	produceAhead = 4 * time.Second
)

// recordLoad records what a server states about its load in an answer.
func (f *Forwarder) recordLoad(server *directory.Server, stated *message.ServerLoad) {
	if stated != nil {
		f.recordLoadStatement(server, load.Statement{Running: stated.Running, Waiting: stated.Waiting, WorkPercent: stated.WorkPercent})
	}
}

// recordReport records what the load report of an engine says about its load.
func (f *Forwarder) recordReport(server *directory.Server, report *message.Report) {
	if report.MemoryTotal > 0 {
		f.recordLoadStatement(server, load.Statement{Running: report.Running, Waiting: report.Queued, MemoryUsed: report.MemoryUsed, Age: reportAge})
	}
}

// recordLoadStatement records a statement of a server. One that is absurd is logged and counted, and has no effect.
func (f *Forwarder) recordLoadStatement(server *directory.Server, statement load.Statement) {
	if err := f.selector.recordLoadStatement(server, statement); err != nil {
		f.meters.count("servers.load_figures_ignored")
		event.Log(f.logger, event.ServerLoadIgnored).Str("server", server.ID).Err(err).Send()
	}
}

func (s *selector) recordLoadStatement(server *directory.Server, statement load.Statement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, all := s.ledger.LoadAt(server.ID)
	return s.picture.Stated(time.Now(), server.ID, server.Service, statement, load.Known{Requests: all.Requests, MemoryTokens: all.MemoryTokens})
}

// describe completes a candidate by what is known about its load and speed. The caller holds mu.
func (s *selector) describe(now time.Time, service *route.Service, candidate *placement.Candidate) {
	view := s.picture.View(now, candidate.ID)
	candidate.Unknown = placement.Load{Requests: view.Requests}
	candidate.Waiting = view.Waiting
	if service.Engine != nil {
		candidate.Unknown.MemoryTokens = view.MemoryTokens
		candidate.ReadingSpeed = s.picture.ReadingSpeed(service.Name, s.readingSpeed)
	}
	if !s.picture.States(service.Name) {
		// What one instance observes differs from what others do, so that they would prefer different servers for a prompt.
		return
	}
	if service.Engine == nil {
		candidate.ReadWork = s.picture.Work(now, candidate.ID, callAhead)
		return
	}
	candidate.Pause = view.Pause
	candidate.ReadWork = s.picture.Work(now, candidate.ID, readAhead)
	candidate.ProduceWork = s.picture.Work(now, candidate.ID, produceAhead)
}

// idle reports whether no prompt is being read at a server as far as is known.
func (s *selector) idle(server *directory.Server) (idle bool) {
	s.withLedger(func(ledger *placement.Ledger, _ time.Time) {
		_, all := ledger.LoadAt(server.ID)
		idle = all.PrefillTokens == 0
	})
	return idle
}

// recordIntervals records the usual interval between events at a server and the longest one.
func (s *selector) recordIntervals(server *directory.Server, usual, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picture.Produced(time.Now(), server.ID, server.Service, usual, longest)
}

// recordRead records how long a server took to read a prompt with no other before it.
func (s *selector) recordRead(server *directory.Server, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.picture.Work(time.Now(), server.ID, readAhead)
	s.picture.Read(server.Service, tokens, time.Duration(float64(took)/work))
}

// Speeds implements peers.Ledger.
func (s *selector) Speeds() []load.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picture.Shares(time.Now())
}

// ReportSpeeds implements peers.Ledger.
func (s *selector) ReportSpeeds(shares []load.Share) (invalid int) {
	snapshot := s.directory.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range shares {
		server := snapshot.Find(shares[i].Server)
		if server != nil && !s.picture.Learn(now, server.Service, &shares[i]) {
			invalid++
		}
	}
	return invalid
}

var _ peers.Ledger = (*selector)(nil)
