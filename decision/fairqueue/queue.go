package fairqueue

import "time"

// Queue holds up to capacity waiting requests. It is not safe for concurrent use.
type Queue struct {
	capacity int
	// active are the accounts with waiting requests.
	active map[string]*account
	// finished holds the virtual times of idle accounts that are ahead of the
	// queue's, so that an account can't reset its own by becoming idle.
	finished map[string]float64
	virtual  float64
	length   int
}

// New returns an empty queue for up to capacity requests.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, active: make(map[string]*account), finished: make(map[string]float64)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Waiting returns the number of waiting requests of an account.
func (q *Queue) Waiting(name string) int {
	if a, ok := q.active[name]; ok {
		return len(a.items)
	}
	return 0
}

// ActiveWeight returns the sum of the weights of accounts with waiting
// requests.
func (q *Queue) ActiveWeight() int {
	sum := 0
	for _, a := range q.active {
		sum += a.weight
	}
	return sum
}

// Push adds a request. When that exceeds the capacity it drops a request, which may
// be the new one, and returns it.
func (q *Queue) Push(item Item) (dropped Item, full bool) {
	item.Weight = max(1, item.Weight)
	item.Cost = max(1, item.Cost)
	q.account(item).insert(item)
	q.length++
	if q.length <= q.capacity {
		return Item{}, false
	}
	longest := q.longest()
	return q.take(longest, len(longest.items)-1), true
}

// Pop removes and returns the next request; false when none waits.
func (q *Queue) Pop() (Item, bool) {
	var next *account
	for _, a := range q.active {
		if next == nil || a.virtual < next.virtual || (a.virtual == next.virtual && a.name < next.name) {
			next = a
		}
	}
	if next == nil {
		return Item{}, false
	}
	q.virtual = max(q.virtual, next.virtual)
	next.virtual += float64(next.items[0].Cost) / float64(next.weight)
	return q.take(next, 0), true
}

// Expire removes and returns the requests whose deadline has passed, ordered by
// account and then by their order in it.
func (q *Queue) Expire(now time.Duration) []Item {
	var expired []Item
	for _, name := range q.names() {
		a := q.active[name]
		for at := 0; at < len(a.items); {
			if a.items[at].Deadline > now {
				at++
				continue
			}
			expired = append(expired, q.take(a, at))
		}
	}
	return expired
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(name, id string) bool {
	a, ok := q.active[name]
	if !ok {
		return false
	}
	for at := range a.items {
		if a.items[at].ID == id {
			q.take(a, at)
			return true
		}
	}
	return false
}

// account returns the item's account and sets its weight. An idle account becomes
// active at the queue's virtual time, or at its own if that is ahead.
func (q *Queue) account(item Item) *account {
	a, ok := q.active[item.Account]
	if !ok {
		a = &account{name: item.Account, virtual: max(q.virtual, q.finished[item.Account])}
		delete(q.finished, item.Account)
		q.active[item.Account] = a
	}
	a.weight = item.Weight
	return a
}

// take removes and returns an item, and removes its account when that became idle.
func (q *Queue) take(a *account, at int) Item {
	item := a.remove(at)
	q.length--
	if len(a.items) > 0 {
		return item
	}
	delete(q.active, a.name)
	if a.virtual > q.virtual {
		q.finished[a.name] = a.virtual
	}
	for name, virtual := range q.finished {
		if virtual <= q.virtual {
			delete(q.finished, name)
		}
	}
	return item
}

// longest returns the account with the longest backlog for its weight.
func (q *Queue) longest() *account {
	var longest *account
	for _, a := range q.active {
		if longest == nil || a.backlog() > longest.backlog() || (a.backlog() == longest.backlog() && a.name < longest.name) {
			longest = a
		}
	}
	return longest
}
