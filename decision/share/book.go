package share

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// AccountReport is what an instance tells the others about one account.
type AccountReport struct {
	Account string
	Reports [Kinds]Report
}

// weight orders reports by what the others need most: shares and demand.
func (r AccountReport) weight() int {
	sum := 0
	for _, report := range r.Reports {
		sum += report.Demand + report.Reserved
	}
	return sum
}

// PeerReports are the reports of one member.
type PeerReports struct {
	Instance   string
	DataCentre string
	ReceivedAt time.Duration
	HasReport  bool
	Accounts   map[string][Kinds]Report
}

// Account is the input about one account.
type Account struct {
	Name   string
	Limits Amounts
	Demand Amounts
}

// Book keeps the shares of one instance of every limit of every account.
type Allocator struct {
	config     Config
	instance   string
	dataCentre string
	random     *rand.Rand
	holders    map[string]*[Kinds]*Holder
}

// NewBook returns a book without shares.
func NewAllocator(config Config, instance, dataCentre string, random *rand.Rand) *Allocator {
	return &Allocator{
		config: config, instance: instance, dataCentre: dataCentre,
		random: random, holders: make(map[string]*[Kinds]*Holder),
	}
}

// Shares returns the shares in use of an account.
func (b *Allocator) Shares(account string) Amounts {
	var shares Amounts
	if held, ok := b.holders[account]; ok {
		for kind, holder := range held {
			shares[kind] = holder.Share()
		}
	}
	return shares
}

// Step moves every share and returns the reports, those that the others need
// most first, so that a bounded message takes the first ones. Accounts that
// are not named any more are forgotten.
func (b *Allocator) Step(now time.Duration, accounts []Account, peers []PeerReports) []AccountReport {
	reports := make([]AccountReport, 0, len(accounts))
	named := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		named[account.Name] = true
		reports = append(reports, b.stepAccount(now, account, peers))
	}
	for name := range b.holders {
		if !named[name] {
			delete(b.holders, name)
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

func (b *Allocator) stepAccount(now time.Duration, account Account, peers []PeerReports) AccountReport {
	held, ok := b.holders[account.Name]
	if !ok {
		held = b.newHolders(account.Name)
	}
	result := AccountReport{Account: account.Name}
	for kind, holder := range held {
		if account.Limits[kind] == 0 {
			continue
		}
		least := leastDemand(account.Limits[kind], len(peers)+1)
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

// idleParts divides the equal part of an instance that sees no demand.
const idleParts = 2

// leastDemand returns the demand that an idle instance states: half its equal
// part and at least one, if the limit is large enough. Without it the demand of
// others takes its whole share, and it would refuse the first request it gets,
// for as long as another data centre is cut off.
func leastDemand(limit, instances int) int {
	if limit < instances {
		return 0
	}
	return max(1, limit/(idleParts*instances))
}

func (b *Allocator) newHolders(account string) *[Kinds]*Holder {
	var held [Kinds]*Holder
	for kind := range held {
		key := account + "/" + Kind(kind).String()
		held[kind] = NewHolder(b.config, key, b.instance, b.dataCentre, b.random)
	}
	b.holders[account] = &held
	return &held
}
