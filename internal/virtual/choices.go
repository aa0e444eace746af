package virtual

import (
	"math/rand/v2"
	"time"
)

// Choices is the source of every random choice of a schedule.
type Choices interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// seeded is a pseudo-random source of choices.
type seeded struct{ random *rand.Rand }

// Seeded returns the source of choices for one schedule, determined by the seed
// and the schedule's number.
func Seeded(seed, schedule uint64) Choices {
	return seeded{random: rand.New(rand.NewPCG(seed, schedule))}
}

func (s seeded) IntN(n int) int { return s.random.IntN(n) }

// Between returns a duration from low to high, both included, in steps of one
// millisecond.
func Between(choices Choices, low, high time.Duration) time.Duration {
	return low + time.Duration(choices.IntN(int((high-low)/time.Millisecond)+1))*time.Millisecond
}

// OneIn reports true once in n times on average.
func OneIn(choices Choices, n int) bool { return choices.IntN(n) == 0 }
