package entry

import (
	"context"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/control/claims"
	"github.com/wisteriahaven/wisteriahaven/control/limits"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// peerAccess implements the interfaces through which the serving path reaches peers.
// Its methods may be called only after Start opened the listeners for peers.
type peerAccess struct {
	entry *Entry
}

// View implements limits.Members.
func (l peerAccess) View() *membership.Snapshot { return l.entry.control.members.View() }

// InRegion implements call.Instances.
func (l peerAccess) InRegion(region string) []string { return l.View().LiveInRegion(region) }

// CommitClaims implements claims.Transport.
func (l peerAccess) CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error) {
	return l.entry.control.client.CommitClaims(ctx, address, shard, payload)
}

// Limits implements limits.Transport.
func (l peerAccess) Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error {
	return l.entry.control.client.Limits(ctx, address, request)
}

// peerAddress returns an instance's address for calls from peers.
func (l peerAccess) peerAddress(instance string) (string, bool) {
	record, found := l.View().Record(instance)
	return record.Peer.Peers, found && record.Peer.Peers != ""
}

// forwarder returns the forwarder of claims to the owners of their shards.
func (l peerAccess) forwarder() *claims.Forwarder {
	return claims.NewForwarder(l, l.peerAddress)
}

// newLimitExchange returns the exchange of limit reports, nil when the settings
// list more than limits.MaxPeers instances.
func (e *Entry) newLimitExchange() *limits.Exchange {
	if len(e.settings.Seeds) > limits.MaxPeers {
		return nil
	}
	return limits.New(e.settings.Intervals.LimitReports.Std(), e.settings.Instance, e.settings.Seeds, peerAccess{e}, peerAccess{e})
}

// limitExchange returns the exchange for the admission controller: a nil
// interface, not a nil pointer in one, when there is none.
func (e *Entry) limitExchange() serving.LimitExchange {
	if e.limits == nil {
		return nil
	}
	return e.limits
}

// receiveLimits passes a peer's limit reports to the exchange, if there is one.
func (e *Entry) receiveLimits(request *peerpb.LimitsRequest) {
	if e.limits != nil {
		e.limits.Receive(request)
	}
}

// commitClaims commits the claims that a peer forwarded.
func (e *Entry) commitClaims(ctx context.Context, shard uint32, payload []byte) ([]byte, error) {
	return claims.Handle(ctx, e.calls, shard, payload)
}

// ordersCandidate reports whether this instance tries to acquire the orders
// lease: rendezvous hashing selects the candidates among the live instances.
func (e *Entry) ordersCandidate() bool {
	live := peerAccess{e}.View().Live(e.settings.DataCentre)
	top := rendezvous.Top("orders/"+e.settings.DataCentre, live, ordersCandidates)
	return slices.Contains(top, e.settings.Instance)
}
