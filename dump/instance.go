package dump

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/duty"
	"github.com/wisteriahaven/wisteriahaven/ring"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Instance is the state of one entry instance.
type Instance struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Time       time.Time `json:"time"`
	Started    time.Time `json:"started"`
	Ready      bool      `json:"ready"`
	// Drained means that the instance or its data centre gets no new work.
	Drained bool `json:"drained,omitempty"`
	// Stopping means that a planned stop began; WaitingFor lists the requests
	// that it waits for.
	Stopping   bool     `json:"stopping,omitempty"`
	WaitingFor []string `json:"waiting_for,omitempty"`
	// InFlight counts the requests being served.
	InFlight int `json:"in_flight"`
	// Revision is the configuration revision in force, zero before the first.
	Revision    uint64             `json:"revision"`
	Duties      []duty.Status      `json:"duties"`
	Rings       []ring.Stats       `json:"rings"`
	Budgets     []Budget           `json:"budgets,omitempty"`
	Members     []Member           `json:"members,omitempty"`
	Servers     []BackendServer    `json:"backend_servers,omitempty"`
	Generations []Generation       `json:"generations,omitempty"`
	Calls       []Call             `json:"calls,omitempty"`
	Leases      []Lease            `json:"leases,omitempty"`
	LocalDrains []LocalDrain       `json:"local_marks,omitempty"`
	Quarantines []Quarantine       `json:"quarantines,omitempty"`
	Counters    []Counter          `json:"counters,omitempty"`
	Decisions   []serving.Decision `json:"decisions,omitempty"`
	// Sections holds the states of the other parts.
	Sections []Section `json:"sections,omitempty"`
}
