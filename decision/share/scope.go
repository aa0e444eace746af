package share

import "time"

// member is a peer that takes part in the division.
type member struct {
	peer Peer
	part int
}

// held returns the larger of the member's committed and reserved shares.
func (m member) held() int { return max(m.peer.Report.Committed, m.peer.Report.Reserved) }

// scope holds the total that a holder divides and the peers that share it: the
// whole limit and every peer, or the frozen total of the data centre and the
// peers in it.
type scope struct {
	total   int
	members []member
	// frozenHeadroom is the amount by which data centres that have detected a
	// partition may still exceed the sum of their instances' shares.
	frozenHeadroom int
	// part is this instance's part of the division.
	part int
}

// scope divides the limit, or the frozen total if another data centre is cut off.
func (h *Holder) scope(now time.Duration, input Input) scope {
	found := scope{total: input.Limit}
	cut := h.cutOff(now, input.Peers)
	if cut {
		found.total = min(h.freeze(now, input), input.Limit)
	} else {
		h.frozen = Unfrozen
		found.frozenHeadroom = h.frozenHeadroom(input.Peers)
	}
	claimants := []claimant{{instance: h.instance, demand: input.Demand}}
	for _, peer := range input.Peers {
		if cut && peer.DataCentre != h.dataCentre {
			continue
		}
		found.members = append(found.members, member{peer: peer})
		claimants = append(claimants, claimant{instance: peer.Instance, demand: peer.Report.Demand})
	}
	divide(h.key, found.total, claimants)
	found.part = claimants[0].part
	for i := range found.members {
		found.members[i].part = claimants[i+1].part
	}
	return found
}

// cutOff reports whether any other data centre has only silent peers.
func (h *Holder) cutOff(now time.Duration, peers []Peer) bool {
	reporting := make(map[string]bool)
	for _, peer := range peers {
		if peer.DataCentre != h.dataCentre {
			reporting[peer.DataCentre] = reporting[peer.DataCentre] || h.reportIsRecent(now, peer)
		}
	}
	for _, recent := range reporting {
		if !recent {
			return true
		}
	}
	return false
}

// reportIsRecent reports whether the peer is not silent.
func (h *Holder) reportIsRecent(now time.Duration, peer Peer) bool {
	return peer.HasReport && now-peer.ReceivedAt <= h.config.SilenceTimeout
}

// freeze returns the total that the data centre may hold during a partition: the
// lowest of the totals that its instances computed when they detected it. It is
// zero while a report of an instance of the data centre is missing.
func (h *Holder) freeze(now time.Duration, input Input) int {
	sum := h.committed
	least := h.frozen
	for _, peer := range input.Peers {
		if peer.DataCentre != h.dataCentre {
			continue
		}
		if !peer.HasReport {
			return 0
		}
		sum += peer.Report.Committed
		if h.reportIsRecent(now, peer) && peer.Report.Frozen != Unfrozen {
			least = minFrozen(least, peer.Report.Frozen)
		}
	}
	if least == Unfrozen {
		sum = max(sum, h.equalPart(input))
	}
	if h.frozen == Unfrozen {
		least = minFrozen(least, sum)
	}
	h.frozen = least
	return least
}

// minFrozen returns the smaller of two frozen totals; Unfrozen is larger than any.
func minFrozen(a, b int) int {
	if a == Unfrozen || (b != Unfrozen && b < a) {
		return b
	}
	return a
}

// equalPart returns the total that a data centre may take if all its instances
// started during the partition and so can't know what it held: an equal part of
// the limit for each data centre. It is zero in any other case.
func (h *Holder) equalPart(input Input) int {
	dataCentres := map[string]bool{h.dataCentre: false}
	for _, peer := range input.Peers {
		dataCentres[peer.DataCentre] = dataCentres[peer.DataCentre] || peer.HasReport
	}
	for name, reported := range dataCentres {
		if name != h.dataCentre && !reported {
			return input.Limit / len(dataCentres)
		}
	}
	return 0
}

// frozenHeadroom returns the sum of the amounts by which data centres that have
// detected a partition may exceed their shares.
func (h *Holder) frozenHeadroom(peers []Peer) int {
	held := make(map[string]int)
	frozen := make(map[string]int)
	for _, peer := range peers {
		held[peer.DataCentre] += member{peer: peer}.held()
		frozen[peer.DataCentre] = max(frozen[peer.DataCentre], peer.Report.Frozen)
	}
	sum := 0
	for name, total := range held {
		if name != h.dataCentre {
			sum += max(0, frozen[name]-total)
		}
	}
	return sum
}

// held returns the sum that the other members hold, have reserved or may take.
func (s scope) held() int {
	sum := s.frozenHeadroom
	for _, member := range s.members {
		sum += member.held()
	}
	return sum
}

// allReportedSince reports whether every member sent a report after the given time.
func (s scope) allReportedSince(since time.Duration) bool {
	for _, member := range s.members {
		if !member.peer.HasReport || member.peer.ReceivedAt <= since {
			return false
		}
	}
	return true
}

// hasUnmetDemand reports whether any member holds less than its part.
func (s scope) hasUnmetDemand() bool {
	for _, member := range s.members {
		if member.held() < member.part {
			return true
		}
	}
	return false
}
