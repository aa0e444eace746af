package objectapi

import (
	"sync"
	"time"
)

// rateLimiter is a token bucket whose capacity is the number of calls in one second.
type rateLimiter struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	updated   time.Time
}

func newRateLimiter(perSecond float64) *rateLimiter {
	return &rateLimiter{perSecond: perSecond, tokens: perSecond, updated: time.Now()}
}

// allow consumes a token and reports whether there was one; rate 0 admits all.
func (r *rateLimiter) allow() bool {
	if r.perSecond == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.updated).Seconds()*r.perSecond)
	r.updated = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
