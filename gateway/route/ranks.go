package route

import "github.com/wisteriahaven/wisteriahaven/decision/rank"

// ranksOf returns the ranks that requests of each service may have: those of the accounts, and those of the routes on which an
// account's rank doesn't replace them.
func ranksOf(routes []*Route, accounts []*Account) map[string]rank.Order {
	var ofAccounts []int
	routesCount := len(accounts) == 0
	for _, account := range accounts {
		if account.Rank == nil {
			routesCount = true
			continue
		}
		ofAccounts = append(ofAccounts, *account.Rank)
	}
	ranks := make(map[string][]int)
	for _, r := range routes {
		for _, share := range r.Split {
			if _, found := ranks[share.Service]; !found {
				ranks[share.Service] = rank.NewOrder(ofAccounts).Ranks()
			}
			if routesCount || r.Anonymous {
				ranks[share.Service] = append(ranks[share.Service], r.Rank)
			}
		}
	}
	orders := make(map[string]rank.Order, len(ranks))
	for service, all := range ranks {
		orders[service] = rank.NewOrder(all)
	}
	return orders
}
