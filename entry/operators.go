package entry

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/guard"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// newOperators returns the operator listener of the instance.
func newOperators(e *Entry) *operator.Server {
	return operator.NewServer(operator.Options{
		Instance:       e.settings.Instance,
		DataCentre:     e.settings.DataCentre,
		Configurations: operator.NewStoredConfigurations(e.store),
		Current:        e.follower,
		Peers:          operator.NewHTTPPeers(e, e.peers),
		LocalDrains:    e.marks,
		Quarantines:    releases{guard: e.guard},
		Announcer:      markAnnouncer{e},
		Logger:         e.logger,
		Now:            time.Now,
	}, e.settings.Operators, e, e.metrics)
}

// peers returns the other instances: those of the settings, and those that
// the instances tell each other about, whose addresses are newer.
func (e *Entry) peers() []settings.Peer {
	byName := make(map[string]settings.Peer)
	for _, seed := range e.settings.Seeds {
		byName[seed.Instance] = seed
	}
	if e.control != nil {
		for _, record := range e.control.members.View().Members {
			if record.Peer.Operators != "" {
				byName[record.Peer.Instance] = record.Peer
			}
		}
	}
	delete(byName, e.settings.Instance)
	others := make([]settings.Peer, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		others = append(others, byName[name])
	}
	return others
}

// releases is the operator.Quarantines of an instance.
type releases struct{ guard *guard.Guard }

// Release implements operator.Quarantines.
func (r releases) Release(fingerprint string) error {
	number, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil || !r.guard.Release(serving.Fingerprint(number)) {
		return fault.New(fault.NotFound, "no request with the fingerprint "+fingerprint+" is quarantined")
	}
	return nil
}
