package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// account is the usage of one client account on this instance.
type account struct {
	limits share.Amounts
	shares share.Amounts
	// requests and tokens are the amounts in flight, waiting requests included.
	requests int
	tokens   int

	requestRate bucket
	tokenRate   bucket
	// current and previous are the demand in the current and in the previous
	// exchange period.
	current  share.Amounts
	previous share.Amounts
}

// addDemand adds an arrival to the demand, whether it is admitted or not.
func (a *account) addDemand(tokens int) {
	a.current[share.RequestsPerSecond]++
	a.raiseDemand(share.RequestsInFlight, a.requests+1)
	a.raiseDemand(share.TokensInFlight, a.tokens+tokens)
}

// raiseDemand raises the demand of the current period to at least an amount.
func (a *account) raiseDemand(kind share.Kind, amount int) {
	a.current[kind] = max(a.current[kind], amount)
}

// endPeriod ends an exchange period and returns, for each limit, the higher demand of
// the last two periods.
func (a *account) endPeriod(period time.Duration) share.Amounts {
	ended := a.current
	ended[share.RequestsPerSecond] = perSecond(share.RequestRateUnit*ended[share.RequestsPerSecond], period)
	ended[share.TokensPerSecond] = perSecond(ended[share.TokensPerSecond], period)
	demand := ended
	for kind := range demand {
		demand[kind] = max(demand[kind], a.previous[kind])
	}
	a.previous = ended
	a.current = share.Amounts{}
	a.current[share.RequestsInFlight] = a.requests
	a.current[share.TokensInFlight] = a.tokens
	return demand
}

// perSecond converts the count of one period to a rate per second, rounded up.
func perSecond(count int, period time.Duration) int {
	return int((time.Duration(count)*time.Second + period - 1) / period)
}
