package inflight

import "github.com/wisteriahaven/wisteriahaven/serving"

// recorder is a serving.Recorder that also tells the tracker.
type recorder struct {
	serving.Recorder
	tracker *Tracker
}

// Recorder wraps a recorder, so that the tracker learns which server runs a
// request.
func (t *Tracker) Recorder(next serving.Recorder) serving.Recorder {
	return recorder{next, t}
}

// Record implements serving.Recorder.
func (r recorder) Record(decision serving.Decision) {
	r.tracker.decided(decision)
	r.Recorder.Record(decision)
}
