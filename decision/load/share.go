package load

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxShares bounds the servers of which an instance tells its peers in one digest.
	MaxShares = 12
	// shareAge is the age up to which an observation is told to peers.
	shareAge = time.Second
)

// Share is what an instance tells its peers about the speed of a server.
type Share struct {
	Server string
	// Interval is the usual interval between two events, Pause the longest one; 0 when not observed. IntervalAge is how
	// long ago that was.
	Interval    time.Duration
	Pause       time.Duration
	IntervalAge time.Duration
	// WorkPercent is how long work takes by the server's own word, 0 when it isn't stated; PercentAge is how long ago.
	WorkPercent int
	PercentAge  time.Duration
}

// Shares returns what this instance itself observed last, at most MaxShares, the newest first.
func (p *Picture) Shares(now time.Time) []Share {
	var shares []Share
	for server, record := range p.servers {
		if now.Sub(record.observedAt) > shareAge {
			continue
		}
		share := Share{Server: server}
		if age := now.Sub(record.interval.setAt); age <= shareAge {
			share.Interval, share.Pause, share.IntervalAge = record.interval.usual, record.interval.pause, age
		}
		if age := now.Sub(record.percentAt); age <= shareAge {
			share.WorkPercent, share.PercentAge = record.percent, age
		}
		if share.Interval > 0 || share.WorkPercent > 0 {
			shares = append(shares, share)
		}
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(p.servers[b.Server].observedAt.UnixNano(), p.servers[a.Server].observedAt.UnixNano()), cmp.Compare(a.Server, b.Server))
	})
	return shares[:min(len(shares), MaxShares)]
}

// Learn records what a peer tells about a server of a service. Figures that are older than the own ones, too old or
// absurd change nothing; it reports whether they were valid.
func (p *Picture) Learn(now time.Time, service string, share *Share) bool {
	if share.Interval < 0 || share.Interval > maxInterval || share.Pause < 0 || share.Pause > maxInterval ||
		share.IntervalAge < 0 || share.IntervalAge > maxStatementAge || share.PercentAge < 0 || share.PercentAge > maxStatementAge ||
		share.WorkPercent != 0 && (share.WorkPercent < minPercent || share.WorkPercent > maxPercent) {
		return false
	}
	record := p.server(share.Server)
	if at := now.Add(-share.IntervalAge); share.Interval > 0 && at.After(record.interval.setAt) {
		record.interval.set(at, share.Interval, share.Pause)
		record.observeInterval(at, p.service(service), share.Interval)
	}
	if at := now.Add(-share.PercentAge); share.WorkPercent > 0 && at.After(record.percentAt) {
		record.observePercent(at, share.WorkPercent)
		p.service(service).stated = true
	}
	return true
}
