package route

import (
	"slices"
	"time"
)

// Route describes the requests of one host and path prefix: the services that
// serve them, how long they may take, and whether they may be repeated.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a
	// stream, that callers expect.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream that callers accept; 0 when it isn't stated.
	MaxPause time.Duration
	// Split distributes the requests over services by weight.
	Split []Share
	// Attempts bounds the backend servers that one request is sent to.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Rank is the rank of the route's requests, 0 the highest.
	Rank int
	// Resumable streams may resume after an event at another backend server.
	Resumable bool
}

// RankOf returns the rank of a request of an account, nil for none: the account's, otherwise the route's.
func (r *Route) RankOf(account *Account) int {
	if account != nil && account.Rank != nil {
		return *account.Rank
	}
	return r.Rank
}

// Share is a service's weight in a split.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may be sent to a second backend server
// after the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Offers reports whether the route sends requests to a service.
func (r *Route) Offers(service string) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Services returns the services to which the route sends requests, sorted by name.
func (r *Route) Services() []string {
	var services []string
	for _, share := range r.Split {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// DividesStreams reports whether the route sends streams that may resume to several services.
func (r *Route) DividesStreams() bool {
	return r.Kind == Stream && r.Resumable && len(r.Services()) > 1
}

// ChooseService returns the service for a random number in [0, 1), in proportion to the weights of the split; empty when none
// has a weight above 0.
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, share := range r.Split {
		total += max(0, share.Weight)
	}
	at, chosen := draw*float64(total), ""
	for _, share := range r.Split {
		if share.Weight <= 0 {
			continue
		}
		chosen = share.Service
		if at -= float64(share.Weight); at < 0 {
			break
		}
	}
	return chosen
}
