package entry

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// newOperators returns the operator listener of the instance.
func newOperators(e *Entry) *operator.Server {
	return operator.NewServer(operator.Parts{
		Instance:       e.settings.Instance,
		DataCentre:     e.settings.DataCentre,
		Configurations: operator.NewStoredConfigurations(e.store),
		Current:        e.follower,
		Peers:          operator.NewHTTPPeers(e, e.peers),
		Marks:          e.marks,
		Quarantines:    noQuarantines{},
		Logger:         e.logger,
		Now:            time.Now,
	}, e.settings.Operators, e, e.metrics)
}

// peers returns the other instances.
func (e *Entry) peers() []settings.Peer {
	var others []settings.Peer
	for _, peer := range e.settings.Seeds {
		if peer.Instance != e.settings.Instance {
			others = append(others, peer)
		}
	}
	return others
}

// noQuarantines is the operator.Quarantines of an instance that quarantines
// nothing.
type noQuarantines struct{}

// Release implements operator.Quarantines.
func (noQuarantines) Release(fingerprint string) error {
	return fault.New(fault.NotFound, "no request with the fingerprint "+fingerprint+" is quarantined")
}
