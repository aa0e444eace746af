package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// serverFailure is one failure of a server, joined from the reports about it.
type serverFailure struct {
	server string
	// at and lastReportAt are the times of the first and the last report.
	at           time.Time
	lastReportAt time.Time
	// suspects maps each suspect to how long it had run on the server.
	suspects  map[serving.Fingerprint]time.Duration
	truncated bool
	// simultaneous means that the failure is one of several simultaneous ones.
	simultaneous bool
}

// joinReports returns the failures in order of their first report.
func joinReports(reports []Report, settings Settings) []*serverFailure {
	sorted := slices.Clone(reports)
	slices.SortFunc(sorted, compareReports)
	var failures []*serverFailure
	latest := make(map[string]*serverFailure)
	for _, report := range sorted {
		failure := latest[report.Server]
		if failure == nil || report.At.Sub(failure.lastReportAt) > settings.JoinWindow {
			failure = &serverFailure{server: report.Server, at: report.At, suspects: make(map[serving.Fingerprint]time.Duration)}
			latest[report.Server] = failure
			failures = append(failures, failure)
		}
		failure.add(report)
	}
	return failures
}

func compareReports(a, b Report) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Instance, b.Instance))
}

func (f *serverFailure) add(report Report) {
	f.lastReportAt = report.At
	f.truncated = f.truncated || report.Truncated
	for _, suspect := range report.Suspects {
		f.suspects[suspect.Fingerprint] = max(f.suspects[suspect.Fingerprint], suspect.RunDuration)
	}
}

// clears reports whether the clearance clears its request of the failure.
func (c Clearance) clears(f *serverFailure) bool {
	age, inFlight := f.suspects[c.Fingerprint]
	return inFlight && c.At.After(f.at) && c.RunDuration >= age
}
