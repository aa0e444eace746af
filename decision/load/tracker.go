package load

import "time"

// maxChanges is the maximum number of recorded starts and ends of one server.
const maxChanges = 256

// change is a start (+1) or an end (-1) of a request of this instance.
type change struct {
	at    time.Duration
	delta int
}

// Tracker estimates one server's load. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	inFlight int
	changes  []change
	report   Report
	reported bool
}

// NewTracker returns a tracker without requests and reports.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config}
}

// Started records that this instance sent a request to the server.
func (t *Tracker) Started(now time.Duration) {
	t.inFlight++
	t.addChange(now, 1)
}

// Ended records that a request of this instance at the server ended.
func (t *Tracker) Ended(now time.Duration) {
	t.inFlight--
	t.addChange(now, -1)
}

// Reported records a report. One that is older than the last is ignored.
func (t *Tracker) Reported(report Report) {
	if t.reported && report.Observed < t.report.Observed {
		return
	}
	if t.reported && report.BootID == t.report.BootID && report.Sequence <= t.report.Sequence {
		return
	}
	t.report = report
	t.reported = true
}

// InFlight returns the number of this instance's requests in flight.
func (t *Tracker) InFlight() int { return t.inFlight }

// Estimate returns the estimated number of requests at the server. instances is the
// number of instances that send to it.
func (t *Tracker) Estimate(now time.Duration, instances int) int {
	if !t.reported || now-t.report.Observed > t.config.StaleAfter {
		return t.inFlight * max(1, instances)
	}
	if t.config.Uncorrected {
		return t.report.Requests
	}
	return max(t.inFlight, t.report.Requests+t.changesSinceReport(now))
}

// EstimateWithPeers returns the number of requests at the server when each of the
// other instances has sent as many as this one since the last report was made. It is
// noisier than Estimate, but prevents instances that share a lagging report from all
// choosing the same server.
func (t *Tracker) EstimateWithPeers(now time.Duration, instances int) int {
	if !t.reported || t.config.Uncorrected || now-t.report.Observed > t.config.StaleAfter {
		return t.Estimate(now, instances)
	}
	return max(t.inFlight, t.report.Requests+t.changesSinceReport(now)*max(1, instances))
}

// changesSinceReport sums the own starts and ends after the report was made.
func (t *Tracker) changesSinceReport(now time.Duration) int {
	from := max(t.report.Observed, now-t.config.MaxLag)
	sum := 0
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].at > from; i-- {
		sum += t.changes[i].delta
	}
	return sum
}

// addChange records a change. At maxChanges it keeps the newer half, up to MaxLag old.
func (t *Tracker) addChange(now time.Duration, delta int) {
	t.changes = append(t.changes, change{now, delta})
	if len(t.changes) < maxChanges {
		return
	}
	kept := t.changes[:0]
	for _, recorded := range t.changes[len(t.changes)-maxChanges/2:] {
		if now-recorded.at <= t.config.MaxLag {
			kept = append(kept, recorded)
		}
	}
	t.changes = kept
}
