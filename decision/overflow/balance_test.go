package overflow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
)

// centre is a data centre in virtual time: requests arrive, some leave, and its servers run what is there.
type centre struct {
	name, region string
	// arrivals and capacity are requests in a second; servers is their number.
	arrivals, capacity float64
	servers            int
	backlog            float64
	// cutOff is set while it neither hears the others nor reaches their servers.
	cutOff    bool
	instances []*overflow.Balance
	// shares are the shares in force after each period.
	shares []int
}

func (c *centre) wait() time.Duration {
	if c.capacity == 0 {
		return 0
	}
	return time.Duration(c.backlog / c.capacity * float64(time.Second))
}

func (c *centre) state() overflow.Centre {
	return overflow.Centre{DataCentre: c.name, Region: c.region, Servers: c.servers, Wait: c.wait(), Capacity: c.capacity}
}

// fleet plays data centres with three instances each. Statements of other data centres arrive a period late.
type fleet struct {
	now     time.Time
	centres []*centre
	// waited sums the wait of all requests in seconds, lost counts those for which there was no server.
	waited, requests, lost, left float64
}

func newFleet(centres ...*centre) *fleet {
	for _, c := range centres {
		for range 3 {
			c.instances = append(c.instances, overflow.NewBalance(overflow.StreamPolicy(), c.name, c.region))
		}
	}
	return &fleet{now: time.Unix(1000, 0), centres: centres}
}

const playPeriod = 500 * time.Millisecond

// play runs the fleet for a time.
func (f *fleet) play(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(playPeriod) {
		before := make(map[string]overflow.Centre)
		for _, c := range f.centres {
			before[c.name] = c.state()
		}
		f.state(before)
		for _, c := range f.centres {
			f.arrive(c)
		}
		for _, c := range f.centres {
			c.backlog = max(0, c.backlog-c.capacity*playPeriod.Seconds())
		}
	}
}

// state exchanges the statements and updates all instances.
func (f *fleet) state(before map[string]overflow.Centre) {
	for _, from := range f.centres {
		home := before[from.name]
		for i, sender := range from.instances {
			statement := overflow.Statement{Service: "s", Servers: home.Servers, Wait: home.Wait, Capacity: home.Capacity, Share: sender.Own()}
			for _, to := range f.centres {
				if to != from && (to.cutOff || from.cutOff) {
					continue
				}
				for j, receiver := range to.instances {
					if to != from || i != j {
						receiver.Stated(f.now, fmt.Sprint(from.name, i), from.name, statement)
					}
				}
			}
		}
	}
	for _, c := range f.centres {
		var others []overflow.Centre
		for _, other := range f.centres {
			if other == c {
				continue
			}
			seen := before[other.name]
			if c.cutOff || other.cutOff {
				seen.Servers = 0
			}
			others = append(others, seen)
		}
		for _, instance := range c.instances {
			instance.Update(f.now, before[c.name], others)
		}
		c.shares = append(c.shares, c.instances[0].Share())
	}
}

// arrive distributes the requests of a data centre in one period.
func (f *fleet) arrive(c *centre) {
	count := int(c.arrivals * playPeriod.Seconds())
	for i := range count {
		to := c
		key := fmt.Sprint(c.name, f.now.UnixNano(), i)
		if name, leaves := c.instances[i%len(c.instances)].Target(key); leaves {
			for _, other := range f.centres {
				if other.name == name {
					to = other
				}
			}
			f.left++
		}
		f.requests++
		if to.servers == 0 || to != c && (c.cutOff || to.cutOff) {
			f.lost++
			continue
		}
		f.waited += to.wait().Seconds()
		to.backlog++
	}
}

// changes returns how often the share of a data centre changed its direction.
func changes(shares []int) (turns int) {
	direction := 0
	for i := 1; i < len(shares); i++ {
		step := shares[i] - shares[i-1]
		if step*direction < 0 {
			turns++
		}
		if step != 0 {
			direction = step
		}
	}
	return turns
}

func TestNothingLeavesWithoutAShortage(t *testing.T) {
	is := is.New(t)
	f := newFleet(&centre{name: "a", region: "r", arrivals: 80, capacity: 100, servers: 20}, &centre{name: "b", region: "r", arrivals: 20, capacity: 100, servers: 20})
	f.play(30 * time.Second)
	is.Equal(f.left, 0.0)
}

// A data centre with too few servers sends what they can't run, without swinging, and takes everything back afterwards.
func TestShortDataCentreSendsWhatItCannotRun(t *testing.T) {
	is := is.New(t)
	short := &centre{name: "a", region: "r", arrivals: 160, capacity: 100, servers: 20}
	near := &centre{name: "b", region: "r", arrivals: 40, capacity: 160, servers: 20}
	f := newFleet(short, near)
	f.play(60 * time.Second)
	share := short.shares[len(short.shares)-1]
	is.True(share >= 25 && share <= 60) // 37.5 are too much at home.
	is.True(short.wait() < 4*time.Second)
	is.True(changes(short.shares) <= 8)
	for _, instance := range short.instances {
		is.Equal(instance.Share(), share)
	}
	short.arrivals = 40
	f.play(40 * time.Second)
	is.Equal(short.instances[0].Share(), 0)
}

// A data centre that lost all its servers sends everything at once, and nothing when they are back.
func TestDataCentreThatLostItsServersSendsEverything(t *testing.T) {
	is := is.New(t)
	lost := &centre{name: "a", region: "r", arrivals: 60, capacity: 100, servers: 20}
	near := &centre{name: "b", region: "r", arrivals: 40, capacity: 160, servers: 20}
	far := &centre{name: "c", region: "q", arrivals: 40, capacity: 160, servers: 20}
	f := newFleet(lost, near, far)
	f.play(5 * time.Second)
	lost.servers, lost.capacity, lost.backlog = 0, 0, 0
	f.play(10 * time.Second)
	is.Equal(lost.instances[0].Share(), 100)
	is.Equal(f.lost, 0.0)
	is.True(near.wait() < 500*time.Millisecond && far.wait() < 500*time.Millisecond)
	lost.servers, lost.capacity = 20, 100
	f.play(3 * time.Second)
	is.Equal(lost.instances[0].Share(), 0)
}

// A short data centre is cut off midway: from then on its requests stay at home, and nothing is sent where nothing answers.
func TestDataCentreThatIsCutOffKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	short := &centre{name: "a", region: "r", arrivals: 160, capacity: 100, servers: 20}
	near := &centre{name: "b", region: "r", arrivals: 40, capacity: 160, servers: 20}
	f := newFleet(short, near)
	f.play(20 * time.Second)
	is.True(short.instances[0].Share() > 0)
	short.cutOff = true
	f.lost = 0
	f.play(10 * time.Second)
	is.Equal(f.lost, 0.0)
	is.Equal(short.instances[0].Share(), 0)
	is.Equal(near.instances[0].Share(), 0)
	short.cutOff = false
	f.play(20 * time.Second)
	is.True(short.instances[0].Share() > 0)
}

// Two data centres are short at once: neither sends to the other, and both send to the one that has servers.
func TestTwoShortDataCentresDoNotSendToEachOther(t *testing.T) {
	is := is.New(t)
	first := &centre{name: "a", region: "r", arrivals: 150, capacity: 100, servers: 20}
	second := &centre{name: "b", region: "r", arrivals: 150, capacity: 100, servers: 20}
	third := &centre{name: "c", region: "q", arrivals: 20, capacity: 200, servers: 20}
	f := newFleet(first, second)
	f.play(30 * time.Second)
	is.Equal(f.left, 0.0)
	f = newFleet(first, second, third)
	f.play(60 * time.Second)
	is.True(first.instances[0].Share() > 10 && second.instances[0].Share() > 10)
	is.Equal(third.instances[0].Share(), 0)
}

// An instance whose own view differs follows the others; one that hears nothing decides by itself.
func TestTheMiddleShareIsInForce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	instance := overflow.NewBalance(overflow.StreamPolicy(), "a", "r")
	for i, share := range []int{30, 35, 40} {
		is.True(instance.Stated(now, fmt.Sprint(i), "a", overflow.Statement{Servers: 5, Share: share}))
	}
	is.True(instance.Stated(now, "b0", "b", overflow.Statement{Servers: 5, Capacity: 5, Wait: time.Millisecond}))
	home := overflow.Centre{DataCentre: "a", Region: "r", Servers: 5, Wait: 3 * time.Second}
	other := []overflow.Centre{{DataCentre: "b", Region: "r", Servers: 5}}
	instance.Update(now, home, other)
	is.True(instance.Share() >= 30 && instance.Share() <= 40)
	is.True(!instance.Stated(now, "b1", "b", overflow.Statement{Wait: time.Hour}))
	is.True(!instance.Stated(now, "3", "a", overflow.Statement{Share: 101}))
}
