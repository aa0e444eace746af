package entry

import (
	"github.com/wisteriahaven/wisteriahaven/control/orders"
	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/routing"
)

// dumpedDecisions bounds the decisions in a dump.
const dumpedDecisions = 100

// Dump is the state of one instance.
type Dump struct {
	Instance   string             `json:"instance"`
	DataCentre string             `json:"data_centre"`
	Region     string             `json:"region"`
	Ready      bool               `json:"ready"`
	Stopping   bool               `json:"stopping"`
	InFlight   int                `json:"in_flight"`
	Revision   uint64             `json:"revision"`
	Orders     orders.Status      `json:"orders"`
	Duties     []duty.Status      `json:"duties"`
	Decisions  []serving.Decision `json:"decisions"`
	// Queues and Servers are the state of admission and of routing.
	Queues  []admission.ServiceState `json:"queues"`
	Servers []routing.ServerStatus   `json:"servers"`
	// CrossRegionBytes counts answer bytes from other regions by account.
	CrossRegionBytes map[string]uint64 `json:"cross_region_bytes"`
}

// Dump returns the state of the instance.
func (e *Entry) Dump() Dump {
	dump := Dump{
		Instance:   e.settings.Instance,
		DataCentre: e.settings.DataCentre,
		Region:     e.settings.Region,
		Ready:      e.Ready(),
		Stopping:   e.stopping.Load(),
		InFlight:   e.callers.InFlight(),
		Orders:     e.orders.Status(),
		Duties:     append(e.duties.Status(), e.serve.Status()...),
		Decisions:  e.recorder.Recent(dumpedDecisions),
		Queues:     e.admitter.Services(),
		Servers:    e.router.Status(),

		CrossRegionBytes: e.router.Traffic().CrossRegionBytes(),
	}
	if current := e.follower.Current(); current != nil {
		dump.Revision = current.Revision
	}
	return dump
}
