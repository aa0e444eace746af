package rollouts

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// move is one order with its evidence and plan.
type move struct {
	order rollout.Order
	id    uint64
	seen  revision.Revision
	began time.Time
	// joined is when this process learned of the order.
	joined time.Time
	judge  *rollout.Judge
	own    rollout.Evidence
	// reports holds the evidence of peers by instance and process.
	reports map[string]*report
	pooled  rollout.Evidence
	// age is that of the oldest recent report.
	age      time.Duration
	findings rollout.Findings
	plan     rollout.Plan
	// recentShare is the largest share of the last evaluations.
	recentShare float64
	shares      map[uint32]float64
	credits     map[uint32]float64
	requests    map[uint32]int
	// sample holds the ids of the new servers that are used while the version is observed.
	sample map[string]bool
	// stopped is set when nothing may be sent to the new version, also for streams that it began.
	stopped bool
	// final is set when the store holds the outcome.
	final     bool
	decidedAt time.Time
	// entry is the order in the store as last read or written by this instance; known is set when there is one.
	entry Entry
	known bool
	// waiting is an order for the same service that came while this one ran; nil for none.
	waiting *Entry
	// barred are versions of earlier orders that were not completed.
	barred []string
	// goneSince is when the version of an order that ended was last without servers; zero while it has some.
	goneSince time.Time
}

// report is the evidence of a peer's process.
type report struct {
	evidence rollout.Evidence
	at       time.Time
}

func newMove(now time.Time, order rollout.Order, seen revision.Revision, began time.Time) *move {
	return &move{
		order: order, id: order.ID(), seen: seen, began: began, joined: now, judge: rollout.NewJudge(order.Duration),
		own: rollout.Evidence{Cells: make(map[rollout.Cell]rollout.Counts)}, reports: make(map[string]*report),
		plan:   rollout.Plan{Reason: rollout.ReasonObserving},
		shares: make(map[uint32]float64), credits: make(map[uint32]float64), requests: make(map[uint32]int),
	}
}

func (m *move) running() bool { return m.plan.Outcome == rollout.Running }

// pool sums the evidence, and returns the number of peers with recent evidence.
func (m *move) pool(now time.Time) int {
	m.pooled = rollout.Evidence{Cells: make(map[rollout.Cell]rollout.Counts, len(m.own.Cells))}
	m.pooled.Add(&m.own)
	recent := 0
	m.age = 0
	for _, r := range m.reports {
		evidence := r.evidence
		if age := now.Sub(r.at); age > recentTime {
			evidence.OldStreams = 0 // its streams ended with it, or are beyond reach
		} else {
			recent++
			m.age = max(m.age, age)
		}
		m.pooled.Add(&evidence)
	}
	return recent
}

// chooseSample chooses the new servers that are used for a share of requests: about as many as carry that share when all
// of them carry everything, and two at least, of different data centres first.
func (m *move) chooseSample(ready []*directory.Server) {
	count := max(minSample, int(m.plan.Share*float64(len(ready))+0.5))
	key := rendezvous.DigestOf(strconv.FormatUint(m.id, 16))
	ranked := slices.Clone(ready)
	slices.SortFunc(ranked, func(a, b *directory.Server) int {
		if key.Weight(rendezvous.DigestOf(a.ID)) > key.Weight(rendezvous.DigestOf(b.ID)) {
			return -1
		}
		return 1
	})
	m.sample = make(map[string]bool, count)
	for round := 0; len(m.sample) < min(count, len(ranked)); round++ {
		used := make(map[string]int)
		for _, server := range ranked {
			used[server.DataCentre]++
			if used[server.DataCentre] == round+1 && len(m.sample) < count {
				m.sample[server.ID] = true
			}
		}
	}
}

// takeNew reports whether the next request of a route goes to the new version.
func (m *move) takeNew(route uint32) bool {
	share, found := m.shares[route]
	if !found || m.plan.Share >= 1 {
		share = m.plan.Share
	}
	m.credits[route] += share
	if m.credits[route] < 1 {
		return false
	}
	m.credits[route]--
	return true
}

// hash32 returns the hash by which names stand in cells.
func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }
