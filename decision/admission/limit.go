package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// checkLimits returns the refusal of an arrival by the account's shares, or nil.
func (c *Controller) checkLimits(now time.Duration, a *account, arrival Arrival) *fault.Error {
	for kind := range share.Kinds {
		if a.limits[kind] == 0 {
			continue
		}
		wait, refused := c.checkLimit(now, a, kind, arrival)
		if !refused {
			continue
		}
		return fault.New(fault.AccountLimit, "client account "+arrival.Account.Name+" is at its limit of "+kind.String()).
			WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(wait))
	}
	return nil
}

// checkLimit reports whether one limit refuses the arrival, and the expected time
// until it no longer does.
func (c *Controller) checkLimit(now time.Duration, a *account, kind share.Kind, arrival Arrival) (time.Duration, bool) {
	own := a.shares[kind]
	if own == 0 {
		return c.config.NoShareRetry, true
	}
	switch kind {
	case share.RequestsPerSecond:
		rate := float64(own) / share.RequestRateUnit
		a.requestRate.fill(now, rate, c.config.BurstWindow)
		wait := a.requestRate.timeUntil(1, rate)
		return wait, wait > 0
	case share.TokensPerSecond:
		a.tokenRate.fill(now, float64(own), c.config.BurstWindow)
		wait := a.tokenRate.timeUntil(0, float64(own))
		return wait, wait > 0
	case share.RequestsInFlight:
		return c.service(arrival.Service).meanRunTime / time.Duration(own), a.requests >= own
	default:
		return c.service(arrival.Service).meanRunTime, a.tokens > 0 && a.tokens+arrival.Tokens > own
	}
}
