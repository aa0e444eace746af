package peers

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
)

// PoisonTable holds what an instance knows about requests that crash backend servers.
type PoisonTable interface {
	// News returns what peers are told now; with complete also what most of them know.
	News(complete bool) poison.News
	// Learn adds the news of a peer and reports whether any was new.
	Learn(news poison.News) bool
}

// PoisonNews are news about requests that crash backend servers, with ages instead of times: the clocks of instances
// differ.
type PoisonNews struct {
	Crashes     []CrashReport
	CleanRuns   []CleanRunReport
	Quarantines []QuarantineReport
}

// CrashReport is the end of a backend server while it ran a request.
type CrashReport struct {
	Server uint64
	Run    poison.Run
	Age    time.Duration
}

// CleanRunReport is a run without a crash.
type CleanRunReport struct {
	Key poison.Key
	Age time.Duration
}

// QuarantineReport is a quarantine.
type QuarantineReport struct {
	Keys     []poison.Key
	Age      time.Duration
	Renewals int
}

const (
	// maxLocalPoisonPeers and maxRemotePoisonPeers are the maximum numbers of local and remote peers that
	// get news at once. Each passes on what was new to it.
	maxLocalPoisonPeers  = 4
	maxRemotePoisonPeers = 4
)

// AnnouncePoison makes a sample of peers get the news of the poison table at once. All others get them with
// the digests of the next seconds. It never blocks.
func (s *Service) AnnouncePoison() {
	select {
	case s.poisonNews <- struct{}{}:
	default:
		// Run has a pending signal already.
	}
}

// sendPoisonNews sends a digest to a sample of peers.
func (s *Service) sendPoisonNews() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendToSample(nil, maxLocalPoisonPeers, maxRemotePoisonPeers)
}

// learnPoison passes the news of a peer to the table, and those that are new on to other peers.
func (s *Service) learnPoison(now time.Time, news *PoisonNews) {
	if len(news.Crashes)+len(news.CleanRuns)+len(news.Quarantines) == 0 {
		return
	}
	if s.options.Poison.Learn(news.times(now)) {
		s.AnnouncePoison()
	}
}

// completeNewsSpacing is the mean number of digests of which one holds all quarantines; answers to new instances always
// do.
const completeNewsSpacing = 8

// reportsOf returns news with ages.
func reportsOf(now time.Time, news poison.News) PoisonNews {
	var reports PoisonNews
	for _, crash := range news.Crashes {
		reports.Crashes = append(reports.Crashes, CrashReport{Server: crash.Server, Run: crash.Run, Age: now.Sub(crash.At)})
	}
	for _, run := range news.CleanRuns {
		reports.CleanRuns = append(reports.CleanRuns, CleanRunReport{Key: run.Key, Age: now.Sub(run.At)})
	}
	for _, quarantine := range news.Quarantines {
		reports.Quarantines = append(reports.Quarantines, QuarantineReport{Keys: quarantine.Keys, Age: now.Sub(quarantine.Since), Renewals: quarantine.Renewals})
	}
	return reports
}

// times returns the news with times by the local clock.
func (n *PoisonNews) times(now time.Time) poison.News {
	var news poison.News
	for _, crash := range n.Crashes {
		news.Crashes = append(news.Crashes, poison.Crash{Server: crash.Server, Run: crash.Run, At: now.Add(-crash.Age)})
	}
	for _, run := range n.CleanRuns {
		news.CleanRuns = append(news.CleanRuns, poison.CleanRun{Key: run.Key, At: now.Add(-run.Age)})
	}
	for _, quarantine := range n.Quarantines {
		news.Quarantines = append(news.Quarantines, poison.Quarantine{Keys: quarantine.Keys, Since: now.Add(-quarantine.Age), Renewals: quarantine.Renewals})
	}
	return news
}
