package inflight

import "github.com/wisteriahaven/wisteriahaven/serving"

// recorder is a serving.Recorder that also passes decisions to the tracker.
type recorder struct {
	serving.Recorder
	tracker *Tracker
}

// Recorder wraps a recorder so that the tracker receives the decisions: they name
// the server of an attempt and the resumption of a generation.
func (t *Tracker) Recorder(next serving.Recorder) serving.Recorder {
	return recorder{next, t}
}

// Record implements serving.Recorder.
func (r recorder) Record(decision serving.Decision) {
	r.tracker.applyDecision(decision)
	r.Recorder.Record(decision)
}
