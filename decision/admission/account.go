package admission

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// account is the use of one client account on this instance.
type account struct {
	limits share.Amounts
	shares share.Amounts
	// requests and tokens are what is in flight, waiting requests included.
	requests int
	tokens   int

	requestRate bucket
	tokenRate   bucket
	// present and previous count what was wanted in the present and in the
	// previous exchange period.
	present  share.Amounts
	previous share.Amounts
}

// use counts what an arrival would have taken, admitted or not.
func (a *account) use(tokens int) {
	a.present[share.RequestsPerSecond]++
	a.want(share.RequestsInFlight, a.requests+1)
	a.want(share.TokensInFlight, a.tokens+tokens)
}

// want raises the present demand to an amount.
func (a *account) want(kind share.Kind, amount int) {
	a.present[kind] = max(a.present[kind], amount)
}

// roll closes an exchange period and returns the demand of the last two.
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

// perSecond returns a count of one period as a rate, rounded up.
func perSecond(count int, period time.Duration) int {
	return int((time.Duration(count)*time.Second + period - 1) / period)
}
