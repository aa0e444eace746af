package limits

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/admission"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment/virtualtime"
)

// submission is a caller's request with its current try.
type submission struct {
	account   int
	gate      gate
	submitted time.Duration
	try       int
	counted   bool // not submitted in the warm-up or at the end of the run
}

// overload simulates callers that send requests to the gates of several instances.
type overload struct {
	random      *rand.Rand
	scheduler   virtualtime.Scheduler
	accounts    []estate.ClientAccount
	rates       []float64 // requests per second by account
	gates       []gate
	submissions map[string]*submission
	lastID      int
	length      time.Duration
	// requested and answered count the counted requests by account.
	requested []int
	answered  []int
}

// newOverload returns a run whose load is the given multiple of the capacity: each
// small account sends a small part of it, and one large account the rest.
func newOverload(seed uint64, offered float64, length time.Duration, build func(capacity int, seed uint64) gate) *overload {
	o := &overload{random: rand.New(rand.NewPCG(seed, 11)), submissions: make(map[string]*submission), length: length}
	for i := range smallCount {
		o.addAccount("small-"+strconv.Itoa(i), smallFraction*capacityRate)
	}
	o.addAccount("large", (offered-smallCount*smallFraction)*capacityRate)
	for i := range instances {
		o.gates = append(o.gates, build(slots/instances, seed+uint64(i)))
	}
	return o
}

func (o *overload) addAccount(name string, rate float64) {
	o.accounts = append(o.accounts, estate.ClientAccount{Name: name, Weight: 1})
	o.rates = append(o.rates, rate)
	o.requested = append(o.requested, 0)
	o.answered = append(o.answered, 0)
}

func (o *overload) run() {
	for account := range o.accounts {
		o.scheduler.At(o.nextArrival(account), func(now time.Duration) { o.startRequest(now, account) })
	}
	o.scheduler.Every(expireInterval, o.length, func(now time.Duration) {
		for _, g := range o.gates {
			o.apply(now, g.expire(now))
		}
	})
	o.scheduler.Run(o.length)
}

func (o *overload) nextArrival(account int) time.Duration {
	return time.Duration(o.random.ExpFloat64() / o.rates[account] * float64(time.Second))
}

// startRequest submits a request and schedules the account's next one.
func (o *overload) startRequest(now time.Duration, account int) {
	counted := now >= warmUpTime && now < o.length-callerTimeout
	if counted {
		o.requested[account]++
	}
	o.submit(now, &submission{account: account, counted: counted})
	o.scheduler.At(now+o.nextArrival(account), func(now time.Duration) { o.startRequest(now, account) })
}

// submit sends a try to a random instance, as the platform's load balancer does.
func (o *overload) submit(now time.Duration, s *submission) {
	o.lastID++
	id := strconv.Itoa(o.lastID)
	s.gate = o.gates[o.random.IntN(len(o.gates))]
	s.submitted = now
	s.try++
	o.submissions[id] = s
	o.apply(now, s.gate.arrive(now, id, o.accounts[s.account]))
}

func (o *overload) apply(now time.Duration, outputs []admission.Output) {
	for _, output := range outputs {
		s := o.submissions[output.ID]
		if output.Refusal != nil {
			delete(o.submissions, output.ID)
			if s.try < maxTries {
				o.scheduler.At(now+output.Refusal.RetryAfter, func(now time.Duration) { o.submit(now, s) })
			}
			continue
		}
		runTime := time.Duration(o.random.ExpFloat64() * float64(meanRunTime))
		o.scheduler.At(now+runTime, func(now time.Duration) { o.finish(now, output.ID, s) })
	}
}

// finish releases the slot, and counts the answer if its caller still waits.
func (o *overload) finish(now time.Duration, id string, s *submission) {
	delete(o.submissions, id)
	if s.counted && now <= s.submitted+callerTimeout {
		o.answered[s.account]++
	}
	o.apply(now, s.gate.release(now, id))
}

// goodput returns the number of answers in time per second.
func (o *overload) goodput() float64 {
	sum := 0
	for _, count := range o.answered {
		sum += count
	}
	return float64(sum) / (o.length - warmUpTime - callerTimeout).Seconds()
}

// minSmallAnswered returns the lowest answered fraction of requests among the small
// accounts.
func (o *overload) minSmallAnswered() float64 {
	lowest := 1.0
	for i := range smallCount {
		lowest = min(lowest, float64(o.answered[i])/float64(max(1, o.requested[i])))
	}
	return lowest
}
