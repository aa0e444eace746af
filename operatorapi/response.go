package operatorapi

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
)

// Response is the answer to one command.
type Response struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// ReadRevision is the revision the command was evaluated on.
	ReadRevision uint64 `json:"read_revision"`
	// Revision is the current revision: the new one of an applied change, the
	// one that won of a conflict.
	Revision uint64 `json:"revision"`
	// Repeated means that the command had been applied before with this id.
	Repeated bool           `json:"repeated,omitempty"`
	Result   command.Result `json:"result,omitzero"`
	// Spread says where an applied change is in force.
	Propagation *Propagation `json:"spread,omitempty"`
	// Expires is the end of a mark.
	Expires time.Time `json:"expires,omitzero"`
	// Settle is the command that settles an unknown outcome.
	RepeatCommand string   `json:"settle,omitempty"`
	Failure       *Failure `json:"failure,omitempty"`
}

// Err returns the failure as a *fault.Error, nil when there is none.
func (r Response) Err() error {
	if r.Failure == nil {
		return nil
	}
	return r.Failure.Err()
}
