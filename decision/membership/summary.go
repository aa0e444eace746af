package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// summarize lets the first bridge sum up its data centre for the others.
func (t *Table) summarize(time.Time) {
	if t.exchanges%summaryPeriod != 0 {
		return
	}
	names := t.liveNames(t.self.Peer.DataCentre)
	first := rendezvous.Owner(bridgeKey+t.self.Peer.DataCentre, names)
	if first != t.self.Peer.Instance {
		return
	}
	report := Report{
		Source:         t.self.Peer.DataCentre,
		Summary:        true,
		Version:        1,
		Instances:      uint32(len(names)),
		LowestRevision: t.lowestRevision(names),
		Demand:         t.totalDemand(names),
	}
	if earlier, ok := t.reports[report.key()]; ok {
		report.Version = earlier.report.Version + 1
	}
	t.reports[report.key()] = &reportEntry{report: report, spread: spread{urgent: 1}}
	t.dirty = true
}

func (t *Table) lowestRevision(names []string) uint64 {
	lowest := t.self.Revision
	for _, name := range names {
		if entry, ok := t.members[name]; ok {
			lowest = min(lowest, entry.record.Revision)
		}
	}
	return lowest
}

// totalDemand adds up the demand of the named instances and keeps the largest
// entries.
func (t *Table) totalDemand(names []string) []Demand {
	totals := make(map[AccountID]Demand)
	for _, name := range names {
		entry, ok := t.reports[reportKey{source: name}]
		if !ok {
			continue
		}
		for _, demand := range entry.report.Demand {
			total := totals[demand.Account]
			total.Account = demand.Account
			total.Requests += demand.Requests
			total.Tokens += demand.Tokens
			totals[demand.Account] = total
		}
	}
	list := make([]Demand, 0, len(totals))
	for _, total := range totals {
		list = append(list, total)
	}
	slices.SortFunc(list, compareDemand)
	return list[:min(len(list), t.config.MaxDemandEntries)]
}

// compareDemand puts the larger demand first.
func compareDemand(a, b Demand) int {
	if order := cmp.Compare(b.Requests, a.Requests); order != 0 {
		return order
	}
	if order := cmp.Compare(b.Tokens, a.Tokens); order != 0 {
		return order
	}
	return cmp.Compare(a.Account, b.Account)
}
