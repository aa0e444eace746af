package limits

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// Times and sizes of the exchange.
const (
	// DefaultPeriod is the longest time in which a report reaches every member.
	DefaultPeriod = 2 * time.Second
	// MaxPeers is the maximum number of other instances with which reports are exchanged. With
	// more, limits are divided equally.
	MaxPeers = 16
	// maxAccounts bounds the accounts in one message.
	maxAccounts     = 64
	sendConcurrency = 8
	// seedPeriods is the number of periods after the start in which every instance of the
	// settings counts, even if the membership has not seen it.
	seedPeriods = 10
)

// Transport sends reports to the instance at an address.
type Transport interface {
	Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error
}

// Members returns the current view of the membership.
type Members interface {
	View() *membership.Snapshot
}

// Exchange implements serving.LimitExchange. It is safe for concurrent use.
type Exchange struct {
	period    time.Duration
	instance  string
	seeds     []settings.Peer
	transport Transport
	members   Members
	started   time.Time

	mu      sync.Mutex
	reports []share.AccountReport
	// published wakes Run after Publish.
	published chan struct{}
	received  map[string]receivedReports
	// deadSince holds the time at which a dead member was first seen dead.
	deadSince map[string]time.Time
}

// receivedReports holds the reports of an instance's last message, by account.
type receivedReports struct {
	at       time.Time
	accounts map[string][share.Kinds]share.Report
}

// New returns the exchange of the named instance. A period of zero selects DefaultPeriod.
func New(period time.Duration, instance string, seeds []settings.Peer, transport Transport, members Members) *Exchange {
	if period == 0 {
		period = DefaultPeriod
	}
	return &Exchange{
		period:    period,
		instance:  instance,
		seeds:     seeds,
		transport: transport,
		members:   members,
		started:   time.Now(),
		published: make(chan struct{}, 1),
		received:  make(map[string]receivedReports),
		deadSince: make(map[string]time.Time),
	}
}

// Period implements serving.LimitExchange.
func (e *Exchange) Period() time.Duration { return e.period }

// Publish implements serving.LimitExchange.
func (e *Exchange) Publish(reports []share.AccountReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = reports[:min(len(reports), maxAccounts)]
	select {
	case e.published <- struct{}{}:
	default:
	}
}

// Receive stores the reports of another instance. Malformed ones are dropped.
func (e *Exchange) Receive(request *peerpb.LimitsRequest) {
	accounts := make(map[string][share.Kinds]share.Report, len(request.GetAccounts()))
	for _, account := range request.GetAccounts() {
		if reports, valid := decodeReports(account.GetValues()); valid {
			accounts[account.GetAccount()] = reports
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[request.GetInstance()] = receivedReports{at: time.Now(), accounts: accounts}
}

// LimitPeers implements serving.LimitExchange.
func (e *Exchange) LimitPeers() []serving.LimitPeer {
	counted := e.countedPeers(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make([]serving.LimitPeer, 0, len(counted))
	for _, peer := range counted {
		last, known := e.received[peer.Instance]
		peers = append(peers, serving.LimitPeer{
			Instance:   peer.Instance,
			DataCentre: peer.DataCentre,
			ReceivedAt: last.at,
			HasReport:  known,
			Accounts:   last.accounts,
		})
	}
	e.dropUncounted(counted)
	return peers
}

// dropUncounted deletes the reports of instances that no longer count. The caller holds the
// lock.
func (e *Exchange) dropUncounted(counted []settings.Peer) {
	kept := make(map[string]bool, len(counted))
	for _, peer := range counted {
		kept[peer.Instance] = true
	}
	for name := range e.received {
		if !kept[name] {
			delete(e.received, name)
		}
	}
}

// Run sends the published reports at once until the context ends. A report sent later could
// arrive more than a period after the state it describes, and two instances could commit the
// same part of a limit.
func (e *Exchange) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.published:
			e.send(ctx)
		}
	}
}

// send sends the newest reports to every instance that counts, whether it is known to be alive
// or not, so that instances that start together receive each other's reports at once.
func (e *Exchange) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.period/2)
	defer cancel()
	request := e.message()
	slots := make(chan struct{}, sendConcurrency)
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, peer := range e.countedPeers(time.Now()) {
		if peer.Peers == "" {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			_ = e.transport.Limits(ctx, peer.Peers, request)
			<-slots
		})
	}
}

// message encodes the newest reports.
func (e *Exchange) message() *peerpb.LimitsRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	request := &peerpb.LimitsRequest{Instance: e.instance}
	for _, report := range e.reports {
		request.Accounts = append(request.Accounts, &peerpb.AccountLimits{
			Account: report.Account,
			Values:  encodeReports(report.Reports),
		})
	}
	return request
}
