package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// nearRate and farRate are the maximum digests per second that an instance sends within its
	// data centre and to remote ones. A digest has about 150 bytes and costs both ends the
	// handling of a datagram; control traffic has a share of 8 KB/s.
	nearRate = 48
	farRate  = 32
	// lostNear and lostFar are the maximum local and remote peers that get a server
	// failure at once. More are not needed: many instances detect the same failure,
	// and each sends it to other peers.
	lostNear = 16
	lostFar  = 16
	// announcedFar is the maximum number of remote peers, besides the relays among
	// them, to which a relay sends a change at once.
	announcedFar = 8
	// reportLifetime is the minimum lifetime of a peer's load report. It is longer
	// with many instances, because reports then arrive less often.
	reportLifetime = 2 * time.Second
	// reportsMissed is the number of reporting intervals without a report after
	// which a peer's loads expire.
	reportsMissed = 2
)

// pace holds the minimum time between two digests to one peer, in the same data
// centre and in a remote one.
type pace struct {
	near, far time.Duration
}

// paceOf returns the intervals at which digests to all members stay within nearRate
// and farRate.
func paceOf(members []*member, dataCentre string) pace {
	near := 0
	for _, known := range members {
		if known.dataCentre == dataCentre {
			near++
		}
	}
	return pace{near: spread(period, near, nearRate), far: spread(farSpacing, len(members)-near, farRate)}
}

// spread returns the time to send one digest to each member at a rate per second,
// and at least the given minimum.
func spread(least time.Duration, members, rate int) time.Duration {
	return max(least, time.Duration(members)*time.Second/time.Duration(rate))
}

// lifetime returns how long the load reports of peers stay valid. It follows the
// interval within the data centre.
func (p pace) lifetime() time.Duration { return max(reportLifetime, reportsMissed*p.near) }

// some returns a random sample of members: all for which always returns true, and
// beside them at most near members of this data centre and far of remote ones.
func some(members []*member, dataCentre string, near, far int, always func(*member) bool) []*member {
	var chosen []*member
	for _, i := range rand.Perm(len(members)) {
		known := members[i]
		left := &far
		if known.dataCentre == dataCentre {
			left = &near
		}
		if always(known) {
			chosen = append(chosen, known)
			continue
		}
		if *left > 0 {
			*left--
			chosen = append(chosen, known)
		}
	}
	return chosen
}
