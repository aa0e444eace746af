package share

import (
	"math/rand/v2"
	"time"
)

// settlePeriods is how long a reservation waits for all peers.
const settlePeriods = 4

// maxBackoffPeriods bounds the wait after a withdrawn reservation.
const maxBackoffPeriods = 3

// Holder keeps one instance's share of one limit.
type Holder struct {
	config     Config
	key        string
	instance   string
	dataCentre string
	random     *rand.Rand

	settled    int
	reserved   int
	reservedAt time.Duration
	// notBefore is when the next reservation may be made.
	notBefore time.Duration
	frozen    int
	lastStep  time.Duration
	stepped   bool
	hadPeers  bool
}

// NewHolder returns a holder without a share. The key names the account and
// the limit; the random source spreads retries.
func NewHolder(config Config, key, instance, dataCentre string, random *rand.Rand) *Holder {
	return &Holder{
		config: config, key: key, instance: instance, dataCentre: dataCentre,
		random: random, frozen: Unfrozen,
	}
}

// Share returns the share in use.
func (h *Holder) Share() int { return h.settled }

// Step takes the state of the exchange and returns the report to send.
func (h *Holder) Step(now time.Duration, input Input) Report {
	if h.stepped && now-h.lastStep > h.config.PauseThreshold {
		h.settled, h.reserved, h.frozen = 0, 0, Unfrozen
	}
	if h.stepped && now-h.lastStep > 2*h.config.Period {
		h.reserved = h.settled
	}
	h.stepped, h.lastStep = true, now
	h.hadPeers = h.hadPeers || len(input.Peers) > 0
	if !h.hadPeers {
		h.settled, h.reserved, h.frozen = input.Limit, input.Limit, Unfrozen
		return h.report(input)
	}
	scope := h.scope(now, input)
	h.shrink(scope, input)
	h.settle(now, scope)
	h.give(now, scope)
	h.reserve(now, scope)
	return h.report(input)
}

func (h *Holder) report(input Input) Report {
	return Report{Demand: input.Demand, Committed: h.settled, Reserved: h.reserved, Frozen: h.frozen}
}

// shrink lowers the share in proportion when the settled shares exceed the
// limit, which a change of members or of the limit can cause.
func (h *Holder) shrink(scope scope, input Input) {
	sum := h.settled
	for _, peer := range input.Peers {
		sum += peer.Report.Committed
	}
	if sum > input.Limit {
		h.settled = h.settled * input.Limit / sum
	}
	if h.settled > scope.total {
		h.settled = scope.total
	}
	h.reserved = max(h.reserved, h.settled)
}

// settle ends a reservation after two periods, or more while a peer was not
// heard yet.
func (h *Holder) settle(now time.Duration, scope scope) {
	if h.reserved <= h.settled || now < h.reservedAt+2*h.config.Period {
		return
	}
	heard := scope.heardSince(h.reservedAt + h.config.Period)
	if !heard && now < h.reservedAt+settlePeriods*h.config.Period {
		return
	}
	if heard && scope.held()+h.reserved <= scope.total {
		h.settled = h.reserved
		return
	}
	h.reserved = h.settled
	wait := 1 + h.random.Int64N(maxBackoffPeriods)
	h.notBefore = now + time.Duration(wait)*h.config.Period
}

// give lowers the share to the division when a peer wants more than it has.
// With a silent peer it waits: what is given while a cut is not noticed yet
// would be lost to the data centre until the cut ends.
func (h *Holder) give(now time.Duration, scope scope) {
	if scope.part < h.settled && scope.wanted() && scope.heardSince(now-h.config.SilenceTimeout) {
		h.settled = scope.part
		h.reserved = h.settled
	}
}

// reserve announces the part of the free amount that falls to this instance.
func (h *Holder) reserve(now time.Duration, scope scope) {
	if h.reserved > h.settled || now < h.notBefore || scope.part <= h.settled {
		return
	}
	if !scope.heardSince(now - h.config.SilenceTimeout) {
		return
	}
	free := scope.total - scope.held() - h.settled
	if free <= 0 {
		return
	}
	claimants := make([]claimant, 0, len(scope.members)+1)
	claimants = append(claimants, claimant{instance: h.instance, demand: scope.part - h.settled})
	for _, member := range scope.members {
		claimants = append(claimants, claimant{instance: member.peer.Instance, demand: max(0, member.part-member.held())})
	}
	divide(h.key, free, claimants)
	if extra := min(claimants[0].part, scope.part-h.settled); extra > 0 {
		h.reserved = h.settled + extra
		h.reservedAt = now
	}
}
