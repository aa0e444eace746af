package share

import "time"

// member is a peer that the share is divided with.
type member struct {
	peer Peer
	part int
}

// held returns the larger of the member's settled and reserved shares.
func (m member) held() int { return max(m.peer.Report.Committed, m.peer.Report.Reserved) }

// scope is what a holder divides and with whom: the whole limit with every
// peer, or the frozen sum of the data centre with the peers in it.
type scope struct {
	total   int
	members []member
	// kept is what data centres that see a cut may still hold over the sum of
	// their instances' shares.
	kept int
	// part is the holder's own part of the division.
	part int
}

// scope finds whether a data centre is cut off and divides accordingly.
func (h *Holder) scope(now time.Duration, input Input) scope {
	found := scope{total: input.Limit}
	cut := h.cutOff(now, input.Peers)
	if cut {
		found.total = min(h.freeze(now, input), input.Limit)
	} else {
		h.frozen = Unfrozen
		found.kept = h.kept(input.Peers)
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

// cutOff reports whether every peer of some other data centre is silent.
func (h *Holder) cutOff(now time.Duration, peers []Peer) bool {
	heard := make(map[string]bool)
	for _, peer := range peers {
		if peer.DataCentre != h.dataCentre {
			heard[peer.DataCentre] = heard[peer.DataCentre] || h.hears(now, peer)
		}
	}
	for _, one := range heard {
		if !one {
			return true
		}
	}
	return false
}

func (h *Holder) hears(now time.Duration, peer Peer) bool {
	return peer.HasReport && now-peer.ReceivedAt <= h.config.SilenceTimeout
}

// freeze returns what the data centre may hold during a cut: the least of
// what its instances saw it hold when they noticed. It is zero while an
// instance of the data centre has not been heard yet.
func (h *Holder) freeze(now time.Duration, input Input) int {
	sum := h.settled
	least := h.frozen
	for _, peer := range input.Peers {
		if peer.DataCentre != h.dataCentre {
			continue
		}
		if !peer.HasReport {
			return 0
		}
		sum += peer.Report.Committed
		if h.hears(now, peer) && peer.Report.Frozen != Unfrozen {
			least = smaller(least, peer.Report.Frozen)
		}
	}
	if least == Unfrozen {
		sum = max(sum, h.equalPart(input))
	}
	if h.frozen == Unfrozen {
		least = smaller(least, sum)
	}
	h.frozen = least
	return least
}

// smaller returns the smaller of two frozen sums.
func smaller(a, b int) int {
	if a == Unfrozen || (b != Unfrozen && b < a) {
		return b
	}
	return a
}

// equalPart returns what a data centre may take whose instances all started
// during the cut: they can't know what it held. It is zero for any other.
func (h *Holder) equalPart(input Input) int {
	dataCentres := map[string]bool{h.dataCentre: false}
	for _, peer := range input.Peers {
		dataCentres[peer.DataCentre] = dataCentres[peer.DataCentre] || peer.HasReport
	}
	for name, heard := range dataCentres {
		if name != h.dataCentre && !heard {
			return input.Limit / len(dataCentres)
		}
	}
	return 0
}

// kept sums what data centres that see a cut may hold over their shares.
func (h *Holder) kept(peers []Peer) int {
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

// held returns the sum that the others hold, have announced or may take.
func (s scope) held() int {
	sum := s.kept
	for _, member := range s.members {
		sum += member.held()
	}
	return sum
}

// heardSince reports whether every member was heard after the time.
func (s scope) heardSince(since time.Duration) bool {
	for _, member := range s.members {
		if !member.peer.HasReport || member.peer.ReceivedAt <= since {
			return false
		}
	}
	return true
}

// wanted reports whether a member holds less than its part.
func (s scope) wanted() bool {
	for _, member := range s.members {
		if member.held() < member.part {
			return true
		}
	}
	return false
}
