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

// links gives the serving path what it needs of the other instances. Its
// methods may be called only after Start opened the control addresses.
type links struct {
	entry *Entry
}

// View implements limits.Members.
func (l links) View() *membership.Snapshot { return l.entry.control.members.View() }

// InRegion implements call.Instances.
func (l links) InRegion(region string) []string { return l.View().LiveInRegion(region) }

// CommitClaims implements claims.Transport.
func (l links) CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error) {
	return l.entry.control.client.CommitClaims(ctx, address, shard, payload)
}

// Limits implements limits.Transport.
func (l links) Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error {
	return l.entry.control.client.Limits(ctx, address, request)
}

// peerAddress returns the address for calls to an instance.
func (l links) peerAddress(instance string) (string, bool) {
	record, known := l.View().Record(instance)
	return record.Peer.Peers, known && record.Peer.Peers != ""
}

// forwarder returns what takes claims to the homes of their shards.
func (l links) forwarder() *claims.Forwarder {
	return claims.NewForwarder(l, l.peerAddress)
}

// newLimitExchange returns the exchange of limit reports, nil when there are
// too many instances for it.
func (e *Entry) newLimitExchange() *limits.Exchange {
	if len(e.settings.Seeds) > limits.MaxPeers {
		return nil
	}
	return limits.New(e.settings.Intervals.LimitReports.Std(), e.settings.Instance, e.settings.Seeds, links{e}, links{e})
}

// limitExchange returns the exchange as the admission takes it: a nil
// interface when there is none.
func (e *Entry) limitExchange() serving.LimitExchange {
	if e.limits == nil {
		return nil
	}
	return e.limits
}

// receiveLimits takes the limit reports of another instance.
func (e *Entry) receiveLimits(request *peerpb.LimitsRequest) {
	if e.limits != nil {
		e.limits.Receive(request)
	}
}

// commitClaims commits a claim that another instance forwarded.
func (e *Entry) commitClaims(ctx context.Context, shard uint32, payload []byte) ([]byte, error) {
	return claims.Handle(ctx, e.calls, shard, payload)
}

// ordersCandidate reports whether this instance tries for the orders lease.
func (e *Entry) ordersCandidate() bool {
	live := links{e}.View().Live(e.settings.DataCentre)
	top := rendezvous.Top("orders/"+e.settings.DataCentre, live, ordersCandidates)
	return slices.Contains(top, e.settings.Instance)
}
