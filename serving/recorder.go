package serving

import "time"

// Decision is one step of a request or of the control plane, kept for
// explanations.
type Decision struct {
	Time time.Time `json:"time"`
	// Subject is the id of the request, generation, server or order.
	Subject string `json:"subject"`
	// Kind names the decision, such as "route", "resume", "refuse", "order".
	Kind string `json:"kind"`
	// Reason explains the decision in one line.
	Reason string `json:"reason"`
	// Server is the backend server concerned, if any.
	Server string `json:"server,omitempty"`
}

// Recorder keeps recent decisions in bounded memory. It is safe for concurrent
// use.
type Recorder interface {
	Record(decision Decision)
	// Explain returns the kept decisions about a subject, oldest first.
	Explain(subject string) []Decision
}
