package operatorapi

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
)

// Response is the response to one command.
type Response struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// ReadRevision is the revision the command was evaluated on.
	ReadRevision uint64 `json:"read_revision"`
	// Revision is the current revision: after an applied change the new one,
	// after a conflict the one that was committed instead.
	Revision uint64 `json:"revision"`
	// Repeated means that an earlier submission with this id was applied.
	Repeated bool           `json:"repeated,omitempty"`
	Result   command.Result `json:"result,omitzero"`
	// Propagation lists where an applied change is in force, and where it is pending.
	Propagation *Propagation `json:"spread,omitempty"`
	// Expires is the time when a local drain expires.
	Expires time.Time `json:"expires,omitzero"`
	// RepeatCommand is the command line that repeats a command of unknown outcome.
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
