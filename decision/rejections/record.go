package rejections

import (
	"slices"
	"time"
)

// record holds what is known about one server.
type record struct {
	service string
	// limit is what the server's last answer stated, 0 for nothing; answeredAt is when it came.
	limit      int
	answeredAt time.Time
	// statedAt is when the server began to state a limit; zero while it doesn't.
	statedAt time.Time
	// own holds the latest rejections of requests of this instance, oldest first, peers those of others by instance.
	own   []time.Time
	peers map[string][]time.Time
	// choices holds the latest choices of the server.
	choices []time.Time
}

// since returns how many rejections of this instance, and of all, came after a time.
func (r *record) since(after time.Time) (own, all int) {
	own = countAfter(r.own, after)
	all = own
	for _, times := range r.peers {
		all += countAfter(times, after)
	}
	return own, all
}

// lostPlaces returns how many rejections show that the server has fewer places than assumed.
func (r *record) lostPlaces(now time.Time) int {
	after := now.Add(-learningTime)
	if settled := r.statedAt.Add(settlingTime); settled.After(after) {
		after = settled
	}
	_, all := r.since(after)
	return all
}

// recentChoices returns the number of choices that are not recorded as load yet.
func (r *record) recentChoices(now time.Time) int {
	r.choices = slices.DeleteFunc(r.choices, func(at time.Time) bool { return now.Sub(at) >= choiceLifetime })
	return len(r.choices)
}

// exhaustedUntil returns until when so many rejections count that their number reaches the allowance; zero if it doesn't.
func (r *record) exhaustedUntil(now time.Time, allowance int) time.Time {
	times := slices.Clone(r.own)
	for _, reported := range r.peers {
		times = append(times, reported...)
	}
	times = slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) >= Window })
	if len(times) < allowance {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-allowance].Add(Window)
}

func countAfter(times []time.Time, after time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) {
			count++
		}
	}
	return count
}

// keepLatest drops the oldest of more than maxRejections times.
func keepLatest(times []time.Time) []time.Time {
	return times[max(0, len(times)-maxRejections):]
}
