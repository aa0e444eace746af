package admission

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

const (
	// guaranteedShare is the part of its usual share of the starts that each rank gets, whatever waits before it.
	guaranteedShare = 0.25
	// maxInterval bounds the assumed time between two starts.
	maxInterval = 10 * time.Second
)

// WaitingList holds the requests of one service that wait at one instance until a backend server has room.
//
// It answers the load of more requests than the servers have room for, of callers of several ranks. Of those that wait, the
// highest rank is next, unless a lower one gets less than guaranteedShare of its usual share; within a rank the accounts are
// next in turn. A request that is not expected to start in time is refused when it arrives, not after it has waited.
// The caller tries the requests in the order of Next, because only it knows the room at servers. A WaitingList is not safe for
// concurrent use.
type WaitingList struct {
	capacity int
	ranks    []*waitingRank
	waiting  map[string]*waitingEntry
	length   int
	// interval is the moving mean of the time between two starts of waiting requests; lastStart is when one started, or when
	// the list ceased to be empty.
	interval  time.Duration
	lastStart time.Duration
}

// waitingEntry is a waiting request.
type waitingEntry struct {
	waiter  Waiter
	since   time.Duration
	maxWait time.Duration
}

// NewWaitingList returns an empty list for up to capacity requests of a number of ranks.
func NewWaitingList(capacity, ranks int) *WaitingList {
	l := &WaitingList{capacity: capacity, waiting: make(map[string]*waitingEntry)}
	l.grow(ranks - 1)
	return l
}

// grow makes room for a rank.
func (l *WaitingList) grow(rank int) {
	for len(l.ranks) <= rank {
		l.ranks = append(l.ranks, &waitingRank{queue: fairqueue.New(l.capacity + 1)})
	}
}

// Len returns the number of waiting requests.
func (l *WaitingList) Len() int { return l.length }

// Counts returns the number of waiting requests by rank.
func (l *WaitingList) Counts() []int {
	counts := make([]int, len(l.ranks))
	for n, r := range l.ranks {
		counts[n] = r.queue.Len()
	}
	return counts
}

// Arrive decides on a new request. hasRoom says whether a server has room for it now, usual is the time between two starts
// that is assumed before any was seen. The decisions are that on the request, and a refusal of another one which it displaces.
func (l *WaitingList) Arrive(now time.Duration, waiter Waiter, hasRoom bool, usual time.Duration) []Decision {
	waiter.Rank = max(0, waiter.Rank)
	l.grow(waiter.Rank)
	r := l.rank(now, waiter.Rank)
	r.arrived++
	if hasRoom && !l.before(waiter.Rank) {
		r.started++
		return []Decision{{ID: waiter.ID, Verdict: Start}}
	}
	if l.length == 0 {
		l.lastStart = now
		if l.interval == 0 {
			l.interval = usual
		}
	}
	decision := Decision{ID: waiter.ID, Verdict: Wait, Ahead: l.ahead(&waiter)}
	decision.Expected = l.expected(now, waiter.Rank, decision.Ahead)
	r.queued++
	maxWait := waiter.MaxWait()
	if maxWait <= 0 || decision.Expected > maxWait {
		decision.Verdict = Refuse
		return []Decision{decision}
	}
	l.push(now, waiter, maxWait)
	if l.length <= l.capacity {
		return []Decision{decision}
	}
	dropped := l.drop()
	if dropped == waiter.ID {
		decision.Verdict = Refuse
		return []Decision{decision}
	}
	return []Decision{decision, {ID: dropped, Verdict: Refuse, Expected: decision.Expected}}
}

// before reports whether requests wait that go before a new one of a rank.
func (l *WaitingList) before(rank int) bool {
	return slices.ContainsFunc(l.ranks[:rank+1], func(r *waitingRank) bool { return r.queue.Len() > 0 })
}

// ahead returns the number of waiting requests that start before a new one.
func (l *WaitingList) ahead(waiter *Waiter) int {
	count := 0
	for _, r := range l.ranks[:waiter.Rank] {
		count += r.queue.Len()
	}
	queue := l.ranks[waiter.Rank].queue
	own := queue.Waiting(waiter.Account)
	accounts := queue.ActiveWeight()
	if own == 0 {
		accounts++
	}
	return count + min(queue.Len(), (own+1)*accounts-1)
}

// expected returns the time until a new request of a rank is expected to start: requests of higher ranks that are still to
// come go before it, down to its guaranteed share.
func (l *WaitingList) expected(now time.Duration, rank, ahead int) time.Duration {
	interval := l.interval
	if l.length > 0 {
		interval = max(interval, now-l.lastStart)
	}
	if interval <= 0 {
		return 0
	}
	higher := 0.0
	for n := range rank {
		higher += l.rank(now, n).queuedRate()
	}
	rate := 1 / interval.Seconds()
	rate = max(rate-higher, rate*guaranteedShare/float64(len(l.ranks)))
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

func (l *WaitingList) push(now time.Duration, waiter Waiter, maxWait time.Duration) {
	l.waiting[waiter.ID] = &waitingEntry{waiter: waiter, since: now, maxWait: maxWait}
	l.ranks[waiter.Rank].queue.Push(fairqueue.Item{ID: waiter.ID, Account: waiter.Account, Cost: waiter.Cost, Deadline: now + maxWait})
	l.length++
}

// drop removes a request of the lowest rank that waits, and returns its id.
func (l *WaitingList) drop() string {
	for n := len(l.ranks) - 1; n >= 0; n-- {
		if item, ok := l.ranks[n].queue.Drop(); ok {
			l.forget(item.ID)
			return item.ID
		}
	}
	return ""
}

// Next returns the requests in the order in which they may start now. One that has waited for half of its time is the last of
// them: smaller ones don't pass it any more.
func (l *WaitingList) Next(now time.Duration) []string {
	var ids []string
	for _, r := range l.order(now) {
		for _, head := range r.queue.Heads() {
			ids = append(ids, head.ID)
			if entry := l.waiting[head.ID]; now-entry.since >= entry.maxWait/2 {
				return ids
			}
		}
	}
	return ids
}

// order returns the ranks with waiting requests in the order in which they start: first those that got too little.
func (l *WaitingList) order(now time.Duration) []*waitingRank {
	arrived, started := 0.0, 0.0
	for n := range l.ranks {
		r := l.rank(now, n)
		arrived, started = arrived+r.arrived, started+r.started
	}
	var short, others []*waitingRank
	for _, r := range l.ranks {
		switch {
		case r.queue.Len() == 0:
		case r.started < guaranteedShare*started*r.arrived/max(arrived, 1):
			short = append(short, r)
		default:
			others = append(others, r)
		}
	}
	return append(short, others...)
}

// Started removes a request that starts.
func (l *WaitingList) Started(now time.Duration, id string) {
	entry := l.waiting[id]
	if entry == nil {
		return
	}
	r := l.rank(now, entry.waiter.Rank)
	r.queue.Take(entry.waiter.Account, id)
	r.started++
	l.forget(id)
	interval := min(now-l.lastStart, maxInterval)
	if l.interval == 0 {
		l.interval = interval
	}
	l.interval += (interval - l.interval) / meanDivisor
	l.lastStart = now
}

// Remove removes a request that no longer waits: its caller left, or it is answered in another way.
func (l *WaitingList) Remove(id string) {
	if entry := l.waiting[id]; entry != nil {
		l.ranks[entry.waiter.Rank].queue.Remove(entry.waiter.Account, id)
		l.forget(id)
	}
}

// Expire refuses the requests that have waited for as long as they may.
func (l *WaitingList) Expire(now time.Duration) []Decision {
	var decisions []Decision
	for n, r := range l.ranks {
		for _, item := range r.queue.Expire(now) {
			l.forget(item.ID)
			decisions = append(decisions, Decision{ID: item.ID, Verdict: Refuse, Expected: l.expected(now, n, 0)})
		}
	}
	return decisions
}

func (l *WaitingList) forget(id string) {
	delete(l.waiting, id)
	l.length--
}

// rank returns a rank with counts of the time now.
func (l *WaitingList) rank(now time.Duration, position int) *waitingRank {
	r := l.ranks[position]
	r.decay(now)
	return r
}

// MayStart reports whether a new request of a rank would start before all that wait.
func (l *WaitingList) MayStart(rank int) bool {
	l.grow(rank)
	return !l.before(rank)
}
