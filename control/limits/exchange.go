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
	// MaxPeers is the largest number of other instances that exchange reports;
	// with more, limits are divided equally.
	MaxPeers = 16
	// maxAccounts bounds the accounts in one message.
	maxAccounts     = 64
	sendConcurrency = 8
	// joinPeriods is how many periods a listed instance that was never seen
	// counts.
	joinPeriods = 10
)

// Transport sends reports to another instance.
type Transport interface {
	Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error
}

// Members gives the current view of the membership.
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
	// news wakes the sender after a publication.
	news  chan struct{}
	heard map[string]heard
	// deadSince is when a member was first seen dead.
	deadSince map[string]time.Time
}

// heard is the last message of one instance.
type heard struct {
	at       time.Time
	accounts map[string][share.Kinds]share.Report
}

// New returns an exchange of the named instance. A period of zero stands for
// DefaultPeriod.
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
		news:      make(chan struct{}, 1),
		heard:     make(map[string]heard),
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
	case e.news <- struct{}{}:
	default:
	}
}

// Receive takes the reports of another instance.
func (e *Exchange) Receive(request *peerpb.LimitsRequest) {
	accounts := make(map[string][share.Kinds]share.Report, len(request.GetAccounts()))
	for _, account := range request.GetAccounts() {
		if reports, valid := decodeReports(account.GetValues()); valid {
			accounts[account.GetAccount()] = reports
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[request.GetInstance()] = heard{at: time.Now(), accounts: accounts}
}

// LimitPeers implements serving.LimitExchange.
func (e *Exchange) LimitPeers() []serving.LimitPeer {
	counted := e.counted(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make([]serving.LimitPeer, 0, len(counted))
	for _, peer := range counted {
		last, known := e.heard[peer.Instance]
		peers = append(peers, serving.LimitPeer{
			Instance:   peer.Instance,
			DataCentre: peer.DataCentre,
			ReceivedAt: last.at,
			HasReport:  known,
			Accounts:   last.accounts,
		})
	}
	e.forget(counted)
	return peers
}

// forget drops the messages of instances that no longer count. The caller
// holds the lock.
func (e *Exchange) forget(counted []settings.Peer) {
	kept := make(map[string]bool, len(counted))
	for _, peer := range counted {
		kept[peer.Instance] = true
	}
	for name := range e.heard {
		if !kept[name] {
			delete(e.heard, name)
		}
	}
}

// Run sends each publication at once until the context ends. Sent later, a
// report could arrive more than a period after the state that it tells, and two
// instances could settle the same part of a limit.
func (e *Exchange) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.news:
			e.send(ctx)
		}
	}
}

// send sends the newest reports to every instance that counts, known to live or
// not, so that instances that start together hear each other at once.
func (e *Exchange) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.period/2)
	defer cancel()
	request := e.message()
	slots := make(chan struct{}, sendConcurrency)
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, peer := range e.counted(time.Now()) {
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

// message encodes the reports that say anything.
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
