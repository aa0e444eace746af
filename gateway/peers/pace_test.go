package peers

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet returns the peers of an instance in data centre "a": near peers in that data
// centre and far peers in each of the remote ones.
func fleet(near, far, centres int) []*member {
	var members []*member
	add := func(count int, dataCentre string) {
		for range count {
			members = append(members, &member{instance: strconv.Itoa(len(members)), dataCentre: dataCentre, address: addressOf(len(members) % 250)})
		}
	}
	add(near, "a")
	for centre := range centres {
		add(far, "b-"+strconv.Itoa(centre))
	}
	return members
}

// TestDigestsStayWithinTheirRates counts the digests of an instance whose loads change
// all the time, with the numbers of instances that users have and with the number that
// the system is designed for.
func TestDigestsStayWithinTheirRates(t *testing.T) {
	for _, c := range []struct{ near, far, centres int }{{2, 3, 2}, {14, 15, 5}, {49, 50, 5}, {184, 185, 12}} {
		is := is.New(t)
		members := fleet(c.near, c.far, c.centres)
		paces := paceOf(members, "a")
		const seconds = 60
		near, far, mark := 0, 0, uint64(0)
		for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(period) {
			mark++
			for _, known := range members {
				if !due(now, known, known.dataCentre == "a", false, paces, mark) {
					continue
				}
				known.sent, known.fingerprint = now, mark
				if known.dataCentre == "a" {
					near++
				} else {
					far++
				}
			}
		}
		t.Logf("%d and %d members: %d and %d digests a second", c.near, c.far*c.centres, near/seconds, far/seconds)
		is.True(near <= nearRate*seconds+c.near) // the first digest to each peer comes on top
		is.True(far <= farRate*seconds+c.far*c.centres)
		is.True(paces.lifetime() > paces.near) // loads do not expire between two reports
	}
}

// TestNewsGoToEnoughMembers checks that a sample has the full number of local and remote
// peers besides those that are always included.
func TestNewsGoToEnoughMembers(t *testing.T) {
	is := is.New(t)
	members := fleet(184, 185, 12)
	members[200].relay = true
	for range 20 {
		count := map[bool]int{}
		relay := false
		for _, known := range some(members, "a", lostNear, lostFar, func(known *member) bool { return known.relay }) {
			if known.relay {
				relay = true
				continue
			}
			count[known.dataCentre == "a"]++
		}
		is.True(relay)
		is.Equal(count, map[bool]int{true: lostNear, false: lostFar})
	}
	is.Equal(len(some(fleet(2, 3, 2), "a", lostNear, lostFar, func(*member) bool { return false })), 8) // with few peers all are in the sample
}
