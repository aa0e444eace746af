package rejections

import "time"

const (
	// Window is the time in which rejections count towards a limit. It is longer than the servers' second,
	// because two rejections may be closer together at the server than at the instance.
	Window = 1500 * time.Millisecond
	// learningTime is how long a rejection reduces the places that a server is assumed to have.
	learningTime = 5 * time.Second
	// settlingTime is how long after a server's first statement rejections don't reduce its places: the requests were sent before.
	settlingTime = time.Second
	// statementLifetime is how long a statement is valid without another answer of the server or the service.
	statementLifetime = 8 * time.Second
	// announceTime is how long after the last answer with a statement peers are told of it. It is shorter than
	// statementLifetime, so that a statement that has ended ends everywhere.
	announceTime = 2 * time.Second
	// choiceLifetime is how long a choice counts as load when no request follows.
	choiceLifetime = 100 * time.Millisecond
	// maxRejections is the maximum number of rejections that are kept for each server and instance; the oldest are dropped.
	maxRejections = 8
	// maxReportedServers is the maximum number of servers in a report to peers.
	maxReportedServers = 4
	// maxServices is the maximum number of services that peers may report.
	maxServices = 256
)
