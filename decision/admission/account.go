package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// account holds the limits, the shares and the usage of one client account on
// this instance.
type account struct {
	limits share.Amounts
	shares share.Amounts
	// requests and tokens are the amounts in flight, waiting requests included.
	requests int
	tokens   int

	requestRate bucket
	tokenRate   bucket
	// present and previous are the demand in the current and in the previous
	// exchange period.
	present  share.Amounts
	previous share.Amounts
}

// use adds an arrival to the demand, whether it is admitted or not.
func (a *account) use(tokens int) {
	a.present[share.RequestsPerSecond]++
	a.want(share.RequestsInFlight, a.requests+1)
	a.want(share.TokensInFlight, a.tokens+tokens)
}

// want raises the demand of the current period to at least an amount.
func (a *account) want(kind share.Kind, amount int) {
	a.present[kind] = max(a.present[kind], amount)
}

// roll ends an exchange period and returns, for each limit, the higher demand of
// the last two periods.
func (a *account) roll(period time.Duration) share.Amounts {
	ended := a.present
	ended[share.RequestsPerSecond] = perSecond(share.RequestRateUnit*ended[share.RequestsPerSecond], period)
	ended[share.TokensPerSecond] = perSecond(ended[share.TokensPerSecond], period)
	demand := ended
	for kind := range demand {
		demand[kind] = max(demand[kind], a.previous[kind])
	}
	a.previous = ended
	a.present = share.Amounts{}
	a.present[share.RequestsInFlight] = a.requests
	a.present[share.TokensInFlight] = a.tokens
	return demand
}

// perSecond converts the count of one period to a rate per second, rounded up.
func perSecond(count int, period time.Duration) int {
	return int((time.Duration(count)*time.Second + period - 1) / period)
}
