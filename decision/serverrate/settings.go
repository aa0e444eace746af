package serverrate

import "time"

const (
	// minRate replaces lower rates: without any request an instance would not learn that the server needs no limit any more.
	minRate = 0.1
	// maxRate bounds the rates that are reckoned with, in requests a second.
	maxRate = 1e6
	// endDelay is how long after the last statement an answer without one ends it: answers on different connections overtake
	// each other.
	endDelay = 500 * time.Millisecond
	// settlingTime is how long after its start an instance has no part of any rate.
	settlingTime = 2 * time.Second
	// refreshTime is how long after the last answer of a server that is heard of an instance with a part sends it a request even if
	// others are preferred: only an answer shows that the server needs no limit any more.
	refreshTime = 2 * time.Second
	// statementLifetime is how long a statement holds when no answer of the server is heard of.
	statementLifetime = time.Minute
	// maxDebt is the number of requests beyond its part that an instance makes up for.
	maxDebt = 4
	// maxServers is the maximum number of servers that are kept because peers reported them, and maxReports that of a report
	// to peers.
	maxServers = 1024
	maxReports = 8
)
