package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// death is one server's end, joined from the reports about it.
type death struct {
	server    string
	at        time.Time
	last      time.Time
	suspects  map[serving.Fingerprint]time.Duration
	truncated bool
	shared    bool
}

// joinReports returns the deaths in order of time.
func joinReports(reports []Report, settings Settings) []*death {
	sorted := slices.Clone(reports)
	slices.SortFunc(sorted, compareReports)
	var deaths []*death
	latest := make(map[string]*death)
	for _, report := range sorted {
		joined := latest[report.Server]
		if joined == nil || report.At.Sub(joined.last) > settings.JoinWindow {
			joined = &death{server: report.Server, at: report.At, suspects: make(map[serving.Fingerprint]time.Duration)}
			latest[report.Server] = joined
			deaths = append(deaths, joined)
		}
		joined.add(report)
	}
	return deaths
}

func compareReports(a, b Report) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Instance, b.Instance))
}

func (d *death) add(report Report) {
	d.last = report.At
	d.truncated = d.truncated || report.Truncated
	for _, suspect := range report.Suspects {
		d.suspects[suspect.Fingerprint] = max(d.suspects[suspect.Fingerprint], suspect.RunDuration)
	}
}

// clears reports whether the clearance takes the suspect off the death.
func (c Clearance) clears(d *death) bool {
	age, inFlight := d.suspects[c.Fingerprint]
	return inFlight && c.At.After(d.at) && c.RunDuration >= age
}
