package overflow

import "time"

// Centre is what is known about the servers of one service in one data centre.
type Centre struct {
	DataCentre string
	Region     string
	// Servers is the number of servers there that take requests.
	Servers int
	// Wait is the expected wait of one more request.
	Wait time.Duration
	// Capacity is the number of servers, each multiplied by its speed.
	Capacity float64
}

// Statement is what an instance tells all others about a service in its own data centre, as often as digests are sent.
type Statement struct {
	Service string
	// Servers, Wait and Capacity are those of its data centre.
	Servers  int
	Wait     time.Duration
	Capacity float64
	// Share is the part of the requests that should leave the data centre, in percent.
	Share int
}

// valid reports whether a statement can be used.
func (s *Statement) valid() bool {
	return s.Servers >= 0 && s.Servers <= maxServers && s.Wait >= 0 && s.Wait <= maxWait && s.Capacity >= 0 && s.Capacity <= maxServers*maxSpeed &&
		s.Share >= 0 && s.Share <= whole
}

const (
	// maxServers, maxSpeed and maxWait bound the numbers of a statement.
	maxServers = 100_000
	maxSpeed   = 100
	maxWait    = 10 * time.Minute
	// whole is the share of all requests in percent.
	whole = 100
)
