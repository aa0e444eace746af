package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// death is one failure of a server, joined from the reports about it.
type death struct {
	server string
	// at and last are the times of the first and the last report.
	at   time.Time
	last time.Time
	// suspects maps each suspect to how long it had run on the server.
	suspects  map[serving.Fingerprint]time.Duration
	truncated bool
	// shared means that the failure is one of several simultaneous ones.
	shared bool
}

// joinReports returns the failures in order of their first report.
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
		d.suspects[suspect.Fingerprint] = max(d.suspects[suspect.Fingerprint], suspect.Age)
	}
}

// clears reports whether the clearance clears its request of the failure.
func (c Clearance) clears(d *death) bool {
	age, inFlight := d.suspects[c.Fingerprint]
	return inFlight && c.At.After(d.at) && c.Ran >= age
}
