package engine

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
)

// Interval and maximum number of the kept load reports.
const (
	reportPeriod   = 50 * time.Millisecond
	maxKeptReports = 400
)

// runReports records the load periodically, so that laggedReport can return an
// old one.
func (e *Engine) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.recordReport(now)
		}
	}
}

func (e *Engine) recordReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused {
		return
	}
	e.reportSequence++
	e.reports = append(e.reports, e.reportLocked(now))
	if len(e.reports) > maxKeptReports {
		e.reports = e.reports[len(e.reports)-maxKeptReports:]
	}
}

func (e *Engine) reportLocked(now time.Time) engineapi.LoadReport {
	report := engineapi.LoadReport{
		BootID:            e.bootID,
		Sequence:          e.reportSequence,
		Running:           len(e.batch.active),
		Queued:            len(e.batch.queued),
		Slots:             e.settings.Slots,
		CachedTokens:      e.cache.Tokens(),
		Leaving:           e.faults.Leaving,
		ObservedUnixMilli: now.UnixMilli(),
		Model:             e.orders.Model,
		Version:           e.orders.Version,
	}
	if e.orders.Loading {
		report.Model, report.Version = "", ""
	}
	return report
}

// laggedReport returns the newest report that is at least as old as the lag; when
// there is none, it returns one without load.
func (e *Engine) laggedReport(now time.Time) engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := now.Add(-e.settings.LoadReportLag).UnixMilli()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].ObservedUnixMilli <= limit {
			return e.reports[i]
		}
	}
	report := e.reportLocked(now)
	report.Running, report.Queued = 0, 0
	return report
}
