package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rank"
)

// Table is one version of the configuration, indexed for lookups. It is immutable.
type Table struct {
	// Version grows with every change by the operators.
	Version uint64
	// Limits bounds clients' requests.
	Limits   Limits
	services map[string]*Service
	// keysRequired is set when requests need a key, also while no account holds one.
	keysRequired bool
	// accounts holds the client accounts by key.
	accounts   map[string]*Account
	hosts      map[string][]*Route
	routeCount int
	// dividesStreams is set when a route sends streams that may resume to several services.
	dividesStreams bool
	// ranks holds the ranks of the requests of each service.
	ranks map[string]rank.Order
}

// NewTable returns a table of the given routes, services and accounts. Its requests need a key if there are accounts.
// Services without a name, routes without a host or a path prefix, and empty keys are left out, so that they match nothing.
func NewTable(version uint64, limits Limits, routes []*Route, services []*Service, accounts []*Account) *Table {
	table := &Table{
		Version:      version,
		Limits:       limits,
		services:     make(map[string]*Service, len(services)),
		keysRequired: len(accounts) > 0,
		accounts:     make(map[string]*Account),
		hosts:        make(map[string][]*Route),
		routeCount:   len(routes),
	}
	for _, service := range services {
		if service.Name != "" {
			table.services[service.Name] = service
		}
	}
	for _, account := range accounts {
		for _, key := range account.Keys {
			if key != "" {
				table.accounts[key] = account
			}
		}
	}
	for _, r := range routes {
		if r.Host != "" && r.PathPrefix != "" {
			host := strings.ToLower(r.Host)
			table.hosts[host] = append(table.hosts[host], r)
			table.dividesStreams = table.dividesStreams || r.DividesStreams()
		}
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	table.ranks = ranksOf(routes, accounts)
	return table
}

// DividesStreams reports whether a route sends streams that may resume to several services.
func (t *Table) DividesStreams() bool { return t.dividesStreams }

// MovedStreams returns the routes of streams that may resume whose requests, or a part of them, an earlier table sent to other
// services.
func (t *Table) MovedStreams(before *Table) []*Route {
	var moved []*Route
	for host, routes := range t.hosts {
		for _, r := range routes {
			if r.Kind == Stream && r.Resumable && before.sendsElsewhere(host, r) {
				moved = append(moved, r)
			}
		}
	}
	return moved
}

// sendsElsewhere reports whether requests that match a route of another table go to other services by this one.
func (t *Table) sendsElsewhere(host string, r *Route) bool {
	services := r.Services()
	if matched := t.Match(host, r.PathPrefix); matched != nil && !slices.Equal(matched.Services(), services) {
		return true
	}
	return slices.ContainsFunc(t.hosts[host], func(other *Route) bool {
		return strings.HasPrefix(other.PathPrefix, r.PathPrefix) && !slices.Equal(other.Services(), services)
	})
}

// Ranks returns the ranks that requests of a service may have.
func (t *Table) Ranks(service string) rank.Order { return t.ranks[service] }

// Match returns the route of a host with the longest prefix of a path, or nil. A
// port after the host is ignored.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiringKeys returns the table itself if requests need a key, otherwise a copy in which they do.
func (t *Table) RequiringKeys() *Table {
	if t.keysRequired {
		return t
	}
	requiring := *t
	requiring.keysRequired = true
	return &requiring
}

// KeysRequired reports whether requests need a key, except those of anonymous routes.
func (t *Table) KeysRequired() bool { return t.keysRequired }

// Authorize returns the client account that holds a key, nil if none does, and whether a request of a route is allowed with
// that key.
func (t *Table) Authorize(r *Route, key string) (account *Account, allowed bool) {
	account = t.accounts[key]
	return account, account != nil || r.Anonymous || !t.keysRequired
}

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routeCount }

// LongestTimeout returns the longest timeout of a route.
func (t *Table) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.hosts {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
