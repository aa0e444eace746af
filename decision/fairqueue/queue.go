package fairqueue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Queue holds up to capacity waiting requests. It is not safe for concurrent use.
type Queue struct {
	capacity int
	// activeAccounts are the accounts with waiting requests.
	activeAccounts map[string]*account
	// idleVirtualTimes holds the virtual times of idle accounts that are ahead
	// of the queue's, so that an account can't reset its own by becoming idle.
	idleVirtualTimes map[string]float64
	virtualTime      float64
	length           int
}

// New returns an empty queue for up to capacity requests.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, activeAccounts: make(map[string]*account), idleVirtualTimes: make(map[string]float64)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Waiting returns the number of waiting requests of an account.
func (q *Queue) Waiting(name string) int {
	if a, ok := q.activeAccounts[name]; ok {
		return len(a.items)
	}
	return 0
}

// ActiveWeight returns the sum of the weights of accounts with waiting
// requests.
func (q *Queue) ActiveWeight() int {
	sum := 0
	for _, a := range q.activeAccounts {
		sum += a.weight
	}
	return sum
}

// Push adds a request. When that exceeds the capacity it drops a request, which may
// be the new one, and returns it.
func (q *Queue) Push(item Item) (dropped Item, full bool) {
	item.Weight = max(1, item.Weight)
	item.Cost = max(1, item.Cost)
	q.activate(item).insert(item)
	q.length++
	if q.length <= q.capacity {
		return Item{}, false
	}
	longest := q.longestBacklog()
	return q.removeAt(longest, len(longest.items)-1), true
}

// Pop removes and returns the next request; false when none waits.
func (q *Queue) Pop() (Item, bool) {
	var next *account
	for _, a := range q.activeAccounts {
		if next == nil || a.virtualTime < next.virtualTime || (a.virtualTime == next.virtualTime && a.name < next.name) {
			next = a
		}
	}
	if next == nil {
		return Item{}, false
	}
	q.virtualTime = max(q.virtualTime, next.virtualTime)
	next.virtualTime += float64(next.items[0].Cost) / float64(next.weight)
	return q.removeAt(next, 0), true
}

// Heads returns the first waiting request of each account, in the order in which Pop returns them.
func (q *Queue) Heads() []Item {
	accounts := slices.SortedFunc(maps.Values(q.activeAccounts), func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	heads := make([]Item, 0, len(accounts))
	for _, a := range accounts {
		heads = append(heads, a.items[0])
	}
	return heads
}

// Take removes a request as Pop does, though it may not be the next one, and reports whether it was waiting.
func (q *Queue) Take(name, id string) bool {
	a, ok := q.activeAccounts[name]
	if !ok {
		return false
	}
	for at := range a.items {
		if a.items[at].ID == id {
			q.virtualTime = max(q.virtualTime, a.virtualTime)
			a.virtualTime += float64(a.items[at].Cost) / float64(a.weight)
			q.removeAt(a, at)
			return true
		}
	}
	return false
}

// Drop removes and returns the last request of the account with the longest backlog for its weight; false when none waits.
func (q *Queue) Drop() (Item, bool) {
	longest := q.longestBacklog()
	if longest == nil {
		return Item{}, false
	}
	return q.removeAt(longest, len(longest.items)-1), true
}

// Expire removes and returns the requests whose deadline has passed, ordered by
// account and then by their order in it.
func (q *Queue) Expire(now time.Duration) []Item {
	var expired []Item
	for _, name := range q.activeNames() {
		a := q.activeAccounts[name]
		for at := 0; at < len(a.items); {
			if a.items[at].Deadline > now {
				at++
				continue
			}
			expired = append(expired, q.removeAt(a, at))
		}
	}
	return expired
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(name, id string) bool {
	a, ok := q.activeAccounts[name]
	if !ok {
		return false
	}
	for at := range a.items {
		if a.items[at].ID == id {
			q.removeAt(a, at)
			return true
		}
	}
	return false
}

// activate returns the item's account and sets its weight. An idle account becomes
// active at the queue's virtual time, or at its own if that is ahead.
func (q *Queue) activate(item Item) *account {
	a, ok := q.activeAccounts[item.Account]
	if !ok {
		a = &account{name: item.Account, virtualTime: max(q.virtualTime, q.idleVirtualTimes[item.Account])}
		delete(q.idleVirtualTimes, item.Account)
		q.activeAccounts[item.Account] = a
	}
	a.weight = item.Weight
	return a
}

// removeAt removes and returns an item, and removes its account when that became idle.
func (q *Queue) removeAt(a *account, at int) Item {
	item := a.remove(at)
	q.length--
	if len(a.items) > 0 {
		return item
	}
	delete(q.activeAccounts, a.name)
	if a.virtualTime > q.virtualTime {
		q.idleVirtualTimes[a.name] = a.virtualTime
	}
	for name, virtualTime := range q.idleVirtualTimes {
		if virtualTime <= q.virtualTime {
			delete(q.idleVirtualTimes, name)
		}
	}
	return item
}

// longestBacklog returns the account with the longest backlog for its weight.
func (q *Queue) longestBacklog() *account {
	var longest *account
	for _, a := range q.activeAccounts {
		if longest == nil || a.backlog() > longest.backlog() || (a.backlog() == longest.backlog() && a.name < longest.name) {
			longest = a
		}
	}
	return longest
}
