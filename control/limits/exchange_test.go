package limits_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/control/limits"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// members is a membership that the test sets.
type members struct {
	mu   sync.Mutex
	self settings.Peer
	list []membership.Record
}

func (m *members) View() *membership.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return (&membership.Snapshot{Self: membership.Record{Peer: m.self, Health: membership.Alive}, Members: m.list}).Indexed()
}

func (m *members) set(list ...membership.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = list
}

// network hands messages to the exchange at an address.
type network map[string]*limits.Exchange

func (n network) Limits(_ context.Context, address string, request *peerpb.LimitsRequest) error {
	n[address].Receive(request)
	return nil
}

func member(name, dataCentre string, health membership.Health) membership.Record {
	return membership.Record{Peer: settings.Peer{Instance: name, DataCentre: dataCentre, Peers: name}, Health: health}
}

func names(e *limits.Exchange) []string {
	var all []string
	for _, peer := range e.LimitPeers() {
		all = append(all, peer.Instance)
	}
	return all
}

func TestReportsArriveUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := network{}
		a := &members{self: settings.Peer{Instance: "a", DataCentre: "d"}}
		b := &members{self: settings.Peer{Instance: "b", DataCentre: "d"}}
		a.set(member("b", "d", membership.Alive))
		b.set(member("a", "d", membership.Alive))
		net["a"], net["b"] = limits.New(0, "a", nil, net, a), limits.New(0, "b", nil, net, b)
		sent := share.AccountReport{Account: "account"}
		sent.Reports[1] = share.Report{Demand: 9, Committed: 4, Reserved: 5, Frozen: share.Unfrozen}
		net["a"].Publish([]share.AccountReport{sent})
		ctx, stop := context.WithCancel(t.Context())
		go net["a"].Run(ctx)
		time.Sleep(2 * limits.DefaultPeriod)
		stop()
		synctest.Wait()
		peers := net["b"].LimitPeers()
		is.Equal(len(peers), 1)
		is.True(peers[0].HasReport)
		is.Equal(peers[0].Accounts["account"], sent.Reports)
	})
}

// TestDeadMemberCountsUntilItsShareIsGivenUp checks the order of removal: a
// member that only paused must have given its share up before others divide it.
func TestDeadMemberCountsUntilItsShareIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &members{self: settings.Peer{Instance: "a", DataCentre: "d"}}
		e := limits.New(0, "a", nil, network{}, m)
		m.set(member("b", "d", membership.Dead), member("c", "far", membership.Dead))
		is.Equal(names(e), []string{"b", "c"})
		time.Sleep(share.DefaultConfig(limits.DefaultPeriod).PauseThreshold)
		is.Equal(names(e), []string{"b", "c"})
		time.Sleep(time.Second)
		// The far data centre is silent as a whole and may be cut off.
		is.Equal(names(e), []string{"c"})
		m.set(member("b", "d", membership.Alive), member("c", "far", membership.Dead))
		is.Equal(names(e), []string{"b", "c"})
	})
}
