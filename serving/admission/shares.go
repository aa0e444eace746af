package admission

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// checkInterval is the interval of checking deadlines and capacities.
const checkInterval = 100 * time.Millisecond

const (
	// minReadyPeriods is the minimum number of exchange periods until the
	// instance is ready.
	minReadyPeriods = 4
	// maxReadyPeriods is the maximum number of exchange periods until the
	// instance is ready. Some shares never arrive, for example when a peer
	// never sends a report.
	maxReadyPeriods = 10
)

// Run checks deadlines and updates capacities and shares until the context
// ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var lastExchange time.Duration
	for {
		c.update()
		if c.exchange != nil && c.now()-lastExchange >= c.exchange.Period() {
			lastExchange = c.now()
			c.updateShares()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) update() {
	capacities := c.capacity.Capacities()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	now := c.now()
	for _, capacity := range capacities {
		c.apply(c.core.SetCapacity(now, capacity.Service, capacity.Requests))
	}
	c.apply(c.core.Expire(now))
}

// refresh sets the capacities, and without an exchange the equal shares, when a
// new configuration is in force. Otherwise a new account or service would be
// refused until the next tick. The caller holds the lock.
func (c *Controller) refresh() {
	current := c.configuration.Current()
	if current == nil || current == c.appliedConfiguration {
		return
	}
	c.appliedConfiguration = current
	for _, capacity := range c.capacity.Capacities() {
		c.apply(c.core.SetCapacity(c.now(), capacity.Service, capacity.Requests))
	}
	if c.exchange != nil {
		return
	}
	for _, account := range current.ClientAccounts {
		limits := share.LimitsOf(account.Limits)
		var shares share.Amounts
		for kind, limit := range limits {
			key := account.Name + "/" + share.Kind(kind).String()
			shares[kind] = share.EqualPart(key, limit, c.options.Instance, c.options.Others)
		}
		c.setShares(share.Account{Name: account.Name, Limits: limits}, shares, len(c.options.Others))
	}
}

// updateShares ends an exchange period: it computes the shares from the peers'
// reports, publishes this instance's reports and sets ready.
func (c *Controller) updateShares() {
	current := c.configuration.Current()
	if current == nil {
		return
	}
	peers := c.peers()
	c.mu.Lock()
	period := c.exchange.Period()
	accounts := make([]share.Account, 0, len(current.ClientAccounts))
	for _, account := range current.ClientAccounts {
		accounts = append(accounts, share.Account{
			Name:   account.Name,
			Limits: share.LimitsOf(account.Limits),
			Demand: c.core.Demand(account.Name, period),
		})
	}
	reports := c.allocator.Step(c.now(), accounts, peers)
	for _, account := range accounts {
		c.setShares(account, c.allocator.Shares(account.Name), len(peers))
	}
	allShared := c.hasShares(accounts, len(peers)+1)
	c.mu.Unlock()
	c.exchange.Publish(reports)
	if c.now() >= maxReadyPeriods*period || (allShared && c.now() >= minReadyPeriods*period) {
		c.ready.Store(true)
	}
}

// hasShares reports whether this instance has a share of every limit that is
// at least as large as the number of instances.
func (c *Controller) hasShares(accounts []share.Account, instances int) bool {
	for _, account := range accounts {
		for kind, amount := range c.allocator.Shares(account.Name) {
			if account.Limits[kind] >= instances && amount == 0 {
				return false
			}
		}
	}
	return true
}

func (c *Controller) peers() []share.PeerReports {
	listed := c.exchange.LimitPeers()
	peers := make([]share.PeerReports, 0, len(listed))
	for _, peer := range listed {
		peers = append(peers, share.PeerReports{
			Instance: peer.Instance, DataCentre: peer.DataCentre,
			ReceivedAt: peer.ReceivedAt.Sub(c.started), HasReport: peer.HasReport, Accounts: peer.Accounts,
		})
	}
	return peers
}
