package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// limitOf returns why the account's shares refuse an arrival, nil when they
// don't.
func (c *Controller) limitOf(now time.Duration, a *account, arrival Arrival) *fault.Error {
	for kind := range share.Kinds {
		if a.limits[kind] == 0 {
			continue
		}
		wait, refused := c.refuses(now, a, kind, arrival)
		if !refused {
			continue
		}
		return fault.New(fault.AccountLimit, "client account "+arrival.Account.Name+" is at its limit of "+kind.String()).
			WithExecution(fault.ExecutionNotRun).WithRetryAfter(c.retryAfter(wait))
	}
	return nil
}

// refuses reports whether one limit refuses the arrival and the time until it
// may not.
func (c *Controller) refuses(now time.Duration, a *account, kind share.Kind, arrival Arrival) (time.Duration, bool) {
	own := a.shares[kind]
	if own == 0 {
		return c.config.NoShareRetry, true
	}
	switch kind {
	case share.RequestsPerSecond:
		rate := float64(own) / share.RequestRateUnit
		a.requestRate.fill(now, rate, c.config.BurstWindow)
		wait := a.requestRate.until(1, rate)
		return wait, wait > 0
	case share.TokensPerSecond:
		a.tokenRate.fill(now, float64(own), c.config.BurstWindow)
		wait := a.tokenRate.until(0, float64(own))
		return wait, wait > 0
	case share.RequestsInFlight:
		return c.service(arrival.Service).mean / time.Duration(own), a.requests >= own
	default:
		return c.service(arrival.Service).mean, a.tokens > 0 && a.tokens+arrival.Tokens > own
	}
}
