package share

import (
	"math/rand/v2"
	"time"
)

// maxCommitPeriods is the number of periods that a reservation waits for reports
// of all peers.
const maxCommitPeriods = 4

// maxBackoffPeriods bounds the random backoff after a withdrawn reservation.
const maxBackoffPeriods = 3

// Holder keeps one instance's share of one limit.
type Holder struct {
	config     Config
	key        string
	instance   string
	dataCentre string
	random     *rand.Rand

	committed  int
	reserved   int
	reservedAt time.Duration
	// notBefore is the earliest time of the next reservation.
	notBefore time.Duration
	frozen    int
	lastStep  time.Duration
	stepped   bool
	hadPeers  bool
}

// NewHolder returns a holder without a share. The key names the account and the
// limit; the random source gives the backoff between reservations.
func NewHolder(config Config, key, instance, dataCentre string, random *rand.Rand) *Holder {
	return &Holder{
		config: config, key: key, instance: instance, dataCentre: dataCentre,
		random: random, frozen: Unfrozen,
	}
}

// Share returns the committed share, which the instance may use.
func (h *Holder) Share() int { return h.committed }

// Step updates the share from the peers' reports and returns the report to send.
func (h *Holder) Step(now time.Duration, input Input) Report {
	if h.stepped && now-h.lastStep > h.config.PauseThreshold {
		h.committed, h.reserved, h.frozen = 0, 0, Unfrozen
	}
	if h.stepped && now-h.lastStep > 2*h.config.Period {
		h.reserved = h.committed
	}
	h.stepped, h.lastStep = true, now
	h.hadPeers = h.hadPeers || len(input.Peers) > 0
	if !h.hadPeers {
		h.committed, h.reserved, h.frozen = input.Limit, input.Limit, Unfrozen
		return h.report(input)
	}
	scope := h.scope(now, input)
	h.shrink(scope, input)
	h.commit(now, scope)
	h.release(now, scope)
	h.reserve(now, scope)
	return h.report(input)
}

func (h *Holder) report(input Input) Report {
	return Report{Demand: input.Demand, Committed: h.committed, Reserved: h.reserved, Frozen: h.frozen}
}

// shrink lowers the share in proportion if the sum of committed shares exceeds
// the limit, which a change of members or of the limit can cause.
func (h *Holder) shrink(scope scope, input Input) {
	sum := h.committed
	for _, peer := range input.Peers {
		sum += peer.Report.Committed
	}
	if sum > input.Limit {
		h.committed = h.committed * input.Limit / sum
	}
	if h.committed > scope.total {
		h.committed = scope.total
	}
	h.reserved = max(h.reserved, h.committed)
}

// commit commits or withdraws a reservation after two periods. While a report of
// a peer is missing it waits for up to maxCommitPeriods periods.
func (h *Holder) commit(now time.Duration, scope scope) {
	if h.reserved <= h.committed || now < h.reservedAt+2*h.config.Period {
		return
	}
	allReported := scope.allReportedSince(h.reservedAt + h.config.Period)
	if !allReported && now < h.reservedAt+maxCommitPeriods*h.config.Period {
		return
	}
	if allReported && scope.held()+h.reserved <= scope.total {
		h.committed = h.reserved
		return
	}
	h.reserved = h.committed
	wait := 1 + h.random.Int64N(maxBackoffPeriods)
	h.notBefore = now + time.Duration(wait)*h.config.Period
}

// release lowers the share to this instance's part if a peer has less than its
// own part. It does nothing while a peer is silent: a share released before a
// partition is detected would be lost to the data centre until the partition ends.
func (h *Holder) release(now time.Duration, scope scope) {
	if scope.part < h.committed && scope.hasUnmetDemand() && scope.allReportedSince(now-h.config.SilenceTimeout) {
		h.committed = scope.part
		h.reserved = h.committed
	}
}

// reserve reserves this instance's part of the free amount.
func (h *Holder) reserve(now time.Duration, scope scope) {
	if h.reserved > h.committed || now < h.notBefore || scope.part <= h.committed {
		return
	}
	if !scope.allReportedSince(now - h.config.SilenceTimeout) {
		return
	}
	free := scope.total - scope.held() - h.committed
	if free <= 0 {
		return
	}
	claimants := make([]claimant, 0, len(scope.members)+1)
	claimants = append(claimants, claimant{instance: h.instance, demand: scope.part - h.committed})
	for _, member := range scope.members {
		claimants = append(claimants, claimant{instance: member.peer.Instance, demand: max(0, member.part-member.held())})
	}
	divide(h.key, free, claimants)
	if extra := min(claimants[0].part, scope.part-h.committed); extra > 0 {
		h.reserved = h.committed + extra
		h.reservedAt = now
	}
}
