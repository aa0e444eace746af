package peers

import (
	"math/rand/v2"
	"time"
)

const (
	// nearRate and farRate bound the digests a second that an instance sends to
	// those of its data centre and to others: some 150 bytes each, a datagram that
	// each end handles, and a share of 8 KB/s for control.
	nearRate = 48
	farRate  = 32
	// lostNear and lostFar bound the instances that are told at once of a lost
	// server: many instances lose the same servers, and each tells others.
	lostNear = 16
	lostFar  = 16
	// announcedFar bounds the instances of other data centres that a relay tells
	// of a change beside their relays.
	announcedFar = 8
	// reportLifetime is how long loads of another instance count at least; with
	// many instances they come less often.
	reportLifetime = 2 * time.Second
	// reportsMissed is how many reports in a row may be lost before loads lapse.
	reportsMissed = 2
)

// pace is the least time between two digests to one member.
type pace struct {
	near, far time.Duration
}

// paceOf returns the pace with which the rates are kept.
func paceOf(members []*member, dataCentre string) pace {
	near := 0
	for _, known := range members {
		if known.dataCentre == dataCentre {
			near++
		}
	}
	return pace{near: spread(period, near, nearRate), far: spread(farSpacing, len(members)-near, farRate)}
}

// spread returns the time in which a number of members get a digest each.
func spread(least time.Duration, members, rate int) time.Duration {
	return max(least, time.Duration(members)*time.Second/time.Duration(rate))
}

// lifetime returns how long loads of instances of the same data centre count.
func (p pace) lifetime() time.Duration { return max(reportLifetime, reportsMissed*p.near) }

// some returns members drawn at random: at most so many of the own data centre and
// of others, and all that always says.
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
