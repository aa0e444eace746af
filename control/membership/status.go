package membership

import (
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
)

// Status is the state of the membership as shown in the dump.
type Status struct {
	View      *decision.Snapshot `json:"view"`
	Decisions decision.Counters  `json:"decisions"`
	Datagrams gossip.Counters    `json:"datagrams"`
	Rings     []ring.Stats       `json:"rings"`
}

// Status returns the current state.
func (s *Service) Status() Status {
	return Status{
		View:      s.View(),
		Decisions: *s.counters.Load(),
		Datagrams: s.transport.Counters(),
		Rings:     []ring.Stats{s.digests.Stats(), s.requests.Stats()},
	}
}
