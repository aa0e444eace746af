package load

import "time"

// maxChanges bounds the remembered starts and ends of one server.
const maxChanges = 256

// change is a start (+1) or an end (-1) of an own request.
type change struct {
	at    time.Duration
	delta int
}

// Tracker follows one backend server.
type Tracker struct {
	config   Config
	inFlight int
	changes  []change
	report   Report
	reported bool
}

// NewTracker returns the tracker of a server without requests and reports.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config}
}

// Started records that an own request was sent to the server.
func (t *Tracker) Started(now time.Duration) {
	t.inFlight++
	t.remember(now, 1)
}

// Ended records that an own request left the server.
func (t *Tracker) Ended(now time.Duration) {
	t.inFlight--
	t.remember(now, -1)
}

// Reported takes a report. One that is older than the last is ignored.
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

// InFlight returns the own requests in flight.
func (t *Tracker) InFlight() int { return t.inFlight }

// Estimate returns how many requests the server holds, given the number of
// instances that send to it.
func (t *Tracker) Estimate(now time.Duration, instances int) int {
	if !t.reported || now-t.report.Observed > t.config.StaleAfter {
		return t.inFlight * max(1, instances)
	}
	if t.config.Uncorrected {
		return t.report.Requests
	}
	return max(t.inFlight, t.report.Requests+t.since(now))
}

// Expected returns how many requests the server is expected to hold when the
// other instances sent as much to it as this one since the report was true.
// It is noisier than Estimate, and keeps instances that share a lagging report
// from all choosing the same server.
func (t *Tracker) EstimateWithPeers(now time.Duration, instances int) int {
	if !t.reported || t.config.Uncorrected || now-t.report.Observed > t.config.StaleAfter {
		return t.Estimate(now, instances)
	}
	return max(t.inFlight, t.report.Requests+t.since(now)*max(1, instances))
}

// since sums the own starts and ends after the report was true.
func (t *Tracker) since(now time.Duration) int {
	from := max(t.report.Observed, now-t.config.MaxLag)
	sum := 0
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].at > from; i-- {
		sum += t.changes[i].delta
	}
	return sum
}

// remember adds a change and forgets those that no estimate can need.
func (t *Tracker) remember(now time.Duration, delta int) {
	t.changes = append(t.changes, change{now, delta})
	if len(t.changes) < maxChanges {
		return
	}
	keep := t.changes[:0]
	for _, old := range t.changes[len(t.changes)-maxChanges/2:] {
		if now-old.at <= t.config.MaxLag {
			keep = append(keep, old)
		}
	}
	t.changes = keep
}
