package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

func newController() *admission.Controller {
	return admission.New(admission.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
}

// The oracle knows which requests were told to run: never more than the
// capacity, never more of an account than its share, and each request is
// answered at most once.
func TestAdmissionAgainstACount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		c := newController()
		now := time.Duration(0)
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		share3 := share.Amounts{1000 * share.RequestRateUnit, 3, 0, 0}
		accounts := []estate.ClientAccount{
			{Name: "limited", Weight: 1, Limits: estate.AccountLimits{RequestsPerSecond: 1000, RequestsInFlight: 3}},
			{Name: "free", Weight: 2},
		}
		c.SetShares("limited", share3, share3)
		c.SetCapacity(0, "s", capacity)
		running, waiting := map[string]string{}, map[string]string{}
		next := 0
		var order []string
		apply := func(outputs []admission.Output) {
			for _, output := range outputs {
				account, ok := waiting[output.ID]
				is.True(ok) // answered once
				delete(waiting, output.ID)
				if output.Refusal == nil {
					running[output.ID] = account
				} else {
					is.True(output.Refusal.RetryAfter > 0)
					is.Equal(output.Refusal.Execution, fault.ExecutionNotRun)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				id := fmt.Sprint(next)
				account := rapid.SampledFrom(accounts).Draw(t, "account")
				waiting[id] = account.Name
				order = append(order, id)
				apply(c.Arrive(now, admission.Arrival{
					ID: id, Account: account, Service: "s",
					Deadline: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))*time.Second,
				}))
			},
			"release": func(t *rapid.T) {
				if len(order) == 0 {
					t.Skip("none")
				}
				id := rapid.SampledFrom(order).Draw(t, "id")
				delete(running, id)
				delete(waiting, id)
				apply(c.Release(now, id))
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				apply(c.Expire(now))
			},
			"": func(*rapid.T) {
				is.True(len(running) <= capacity)
				is.True(len(waiting) == 0 || len(running) == capacity) // nothing waits beside room
				limited := 0
				for _, account := range running {
					if account == "limited" {
						limited++
					}
				}
				is.True(limited <= 3)
			},
		})
	})
}

func TestRateAdmitsItsShareAndTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.SetCapacity(0, "s", 1000)
	rate := share.Amounts{5 * share.RequestRateUnit, 0, 0, 0}
	account := estate.ClientAccount{Name: "a", Limits: estate.AccountLimits{RequestsPerSecond: 50}}
	c.SetShares("a", share.Amounts{50 * share.RequestRateUnit, 0, 0, 0}, rate)
	admitted := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		outputs := c.Arrive(now, admission.Arrival{ID: fmt.Sprint(i), Account: account, Service: "s", Deadline: now + time.Minute})
		if outputs[0].Refusal == nil {
			admitted++
			continue
		}
		is.True(fault.HasCode(outputs[0].Refusal, fault.AccountLimit))
		is.True(outputs[0].Refusal.RetryAfter >= time.Second)
	}
	is.True(admitted >= 68 && admitted <= 70) // the burst of four seconds and 10 s at the rate
}

func TestTokenDebtRefusesUntilItIsPaid(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.SetCapacity(0, "s", 10)
	limits := share.Amounts{0, 0, 100, 0}
	account := estate.ClientAccount{Name: "a", Limits: estate.AccountLimits{TokensPerSecond: 100}}
	c.SetShares("a", limits, limits)
	arrive := func(now time.Duration, id string) bool {
		return c.Arrive(now, admission.Arrival{ID: id, Account: account, Service: "s", Deadline: time.Hour})[0].Refusal == nil
	}
	is.True(arrive(0, "first"))
	c.AddTokens(0, "first", 700) // the burst of four seconds and three seconds of debt
	is.True(!arrive(time.Second, "early"))
	is.True(arrive(3*time.Second, "late"))
}

func TestRequestThatCanNotStartInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.SetCapacity(0, "s", 1)
	arrive := func(id string, deadline time.Duration) []admission.Output {
		return c.Arrive(0, admission.Arrival{ID: id, Account: estate.ClientAccount{Name: "a"}, Service: "s", Deadline: deadline})
	}
	is.Equal(arrive("runs", time.Minute), []admission.Output{{ID: "runs"}})
	is.Equal(len(arrive("waits", time.Minute)), 0)
	outputs := arrive("hopeless", 100*time.Millisecond)
	is.True(fault.HasCode(outputs[0].Refusal, fault.Overloaded))
	is.True(outputs[0].Refusal.RetryAfter > 0)
}

func TestDemandCountsRefusedRequests(t *testing.T) {
	is := is.New(t)
	c := newController()
	account := estate.ClientAccount{Name: "a", Limits: estate.AccountLimits{RequestsPerSecond: 9, RequestsInFlight: 9}}
	for i := range 6 {
		c.Arrive(0, admission.Arrival{ID: fmt.Sprint(i), Account: account, Service: "s"})
	}
	is.Equal(c.Demand("a", 500*time.Millisecond), share.Amounts{12 * share.RequestRateUnit, 1, 0, 0})
	c.Demand("a", 500*time.Millisecond)
	is.Equal(c.Demand("a", 500*time.Millisecond), share.Amounts{}) // forgotten after two periods
}

func TestSmallRateIsServedByEveryInstance(t *testing.T) {
	is := is.New(t)
	account := estate.ClientAccount{Name: "a", Limits: estate.AccountLimits{RequestsPerSecond: 5}}
	limits := share.LimitsOf(account.Limits)
	admitted := 0
	others := make([]string, 8)
	for i := range 9 {
		c := newController()
		c.SetCapacity(0, "s", 10)
		shares := limits
		shares[share.RequestsPerSecond] = share.EqualPart("key", limits[share.RequestsPerSecond], fmt.Sprint(i), others)
		c.SetShares("a", limits, shares)
		own := 0
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			if c.Arrive(at, admission.Arrival{ID: at.String(), Account: account, Service: "s", Deadline: time.Hour})[0].Refusal == nil {
				c.Release(at, at.String())
				own++
			}
		}
		is.True(own >= 25) // a ninth of 5 a second
		admitted += own
	}
	is.True(admitted <= 5*60+9+9) // the rate, and at most one request of burst and rounding each
}
