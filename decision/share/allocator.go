package share

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// AccountReport holds the reports that an instance sends about one account.
type AccountReport struct {
	Account string
	Reports [Kinds]Report
}

// weight returns the sum of demand and reserved shares: the higher it is, the
// more the other instances need the report.
func (r AccountReport) weight() int {
	sum := 0
	for _, report := range r.Reports {
		sum += report.Demand + report.Reserved
	}
	return sum
}

// PeerReports holds the last reports of one peer about all accounts.
type PeerReports struct {
	Instance   string
	DataCentre string
	ReceivedAt time.Duration
	HasReport  bool
	Accounts   map[string][Kinds]Report
}

// Account holds the limits of one account and this instance's demand.
type Account struct {
	Name   string
	Limits Amounts
	Demand Amounts
}

// Allocator keeps one instance's shares of every limit of every account.
type Allocator struct {
	config     Config
	instance   string
	dataCentre string
	random     *rand.Rand
	holders    map[string]*[Kinds]*Holder
}

// NewAllocator returns an allocator without shares.
func NewAllocator(config Config, instance, dataCentre string, random *rand.Rand) *Allocator {
	return &Allocator{
		config: config, instance: instance, dataCentre: dataCentre,
		random: random, holders: make(map[string]*[Kinds]*Holder),
	}
}

// Shares returns the committed shares of an account's limits.
func (a *Allocator) Shares(account string) Amounts {
	var shares Amounts
	if held, ok := a.holders[account]; ok {
		for kind, holder := range held {
			shares[kind] = holder.Share()
		}
	}
	return shares
}

// Step updates every share and returns the reports in descending order of
// weight, so that a message of bounded size takes the first ones. It drops the
// shares of accounts that are no longer listed.
func (a *Allocator) Step(now time.Duration, accounts []Account, peers []PeerReports) []AccountReport {
	reports := make([]AccountReport, 0, len(accounts))
	named := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		named[account.Name] = true
		reports = append(reports, a.stepAccount(now, account, peers))
	}
	for name := range a.holders {
		if !named[name] {
			delete(a.holders, name)
		}
	}
	slices.SortStableFunc(reports, func(a, b AccountReport) int {
		if order := cmp.Compare(b.weight(), a.weight()); order != 0 {
			return order
		}
		return cmp.Compare(a.Account, b.Account)
	})
	return reports
}

func (a *Allocator) stepAccount(now time.Duration, account Account, peers []PeerReports) AccountReport {
	held, ok := a.holders[account.Name]
	if !ok {
		held = a.newHolders(account.Name)
	}
	result := AccountReport{Account: account.Name}
	for kind, holder := range held {
		if account.Limits[kind] == 0 {
			continue
		}
		least := minDemand(account.Limits[kind], len(peers)+1)
		input := Input{Limit: account.Limits[kind], Demand: max(account.Demand[kind], least), Peers: make([]Peer, 0, len(peers))}
		for _, peer := range peers {
			input.Peers = append(input.Peers, Peer{
				Instance: peer.Instance, DataCentre: peer.DataCentre,
				Report: peer.Accounts[account.Name][kind], ReceivedAt: peer.ReceivedAt, HasReport: peer.HasReport,
			})
		}
		result.Reports[kind] = holder.Step(now, input)
	}
	return result
}

// idleDivisor divides the equal part into the demand that an instance without
// demand reports.
const idleDivisor = 2

// minDemand returns the demand that an idle instance reports: half its equal
// part and at least one, or zero if the limit is smaller than the number of
// instances. Without it the demand of others takes its whole share, and the
// instance would reject the first request it gets, for as long as another data
// centre is cut off.
func minDemand(limit, instances int) int {
	if limit < instances {
		return 0
	}
	return max(1, limit/(idleDivisor*instances))
}

func (a *Allocator) newHolders(account string) *[Kinds]*Holder {
	var held [Kinds]*Holder
	for kind := range held {
		key := account + "/" + Kind(kind).String()
		held[kind] = NewHolder(a.config, key, a.instance, a.dataCentre, a.random)
	}
	a.holders[account] = &held
	return &held
}
