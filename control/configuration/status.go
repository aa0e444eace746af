package configuration

import "github.com/wisteriahaven/wisteriahaven/decision/configspread"

// Status is the state of the follower as shown in the dump.
type Status struct {
	Revision uint64 `json:"revision"`
	// Relay means that this instance watches the platform for its data centre.
	Relay     bool                  `json:"relay"`
	Decisions configspread.Counters `json:"decisions"`
	// Bytes is the total size of the chunks of the in-force revision.
	Bytes             int    `json:"bytes"`
	WholeReplies      uint64 `json:"whole_replies"`
	DifferenceReplies uint64 `json:"difference_replies"`
	ReplyBytes        uint64 `json:"reply_bytes"`
}

// Status returns the current state.
func (f *Follower) Status() Status {
	status := *f.status.Load()
	status.WholeReplies = f.replies.whole.Load()
	status.DifferenceReplies = f.replies.difference.Load()
	status.ReplyBytes = f.replies.bytes.Load()
	if inForce := f.inForce.Load(); inForce != nil {
		status.Bytes = inForce.bytes()
	}
	return status
}

func (f *Follower) publishStatus() {
	f.status.Store(&Status{
		Revision:  f.machine.Revision(),
		Relay:     f.machine.Relay(),
		Decisions: f.machine.Counters(),
	})
}
