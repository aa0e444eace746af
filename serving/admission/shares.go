package admission

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// tick is how often deadlines and capacities are looked at.
const tick = 100 * time.Millisecond

const (
	// readyPeriods is the least number of exchange periods until the first
	// shares.
	readyPeriods = 4
	// maxReadyPeriods bounds the wait for shares that can't settle, such as
	// with a peer that is never heard.
	maxReadyPeriods = 10
)

// Run keeps deadlines, capacities and shares up to date until the context
// ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var exchanged time.Duration
	for {
		c.step()
		if c.exchange != nil && c.now()-exchanged >= c.exchange.Period() {
			exchanged = c.now()
			c.stepShares()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) step() {
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

// refresh sets capacities and equal shares when a new configuration is in
// force, so that a new account or service is not refused until the next tick.
func (c *Controller) refresh() {
	current := c.configuration.Current()
	if current == nil || current == c.limited {
		return
	}
	c.limited = current
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

// stepShares closes an exchange period: it divides the limits again and
// publishes this instance's reports.
func (c *Controller) stepShares() {
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
	reports := c.book.Step(c.now(), accounts, peers)
	for _, account := range accounts {
		c.setShares(account, c.book.Shares(account.Name), len(peers))
	}
	settled := c.hasShares(accounts, len(peers)+1)
	c.mu.Unlock()
	c.exchange.Publish(reports)
	if c.now() >= maxReadyPeriods*period || (settled && c.now() >= readyPeriods*period) {
		c.ready.Store(true)
	}
}

// hasShares reports whether this instance has a share of every limit that is
// large enough for all instances.
func (c *Controller) hasShares(accounts []share.Account, instances int) bool {
	for _, account := range accounts {
		for kind, amount := range c.book.Shares(account.Name) {
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
