package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/centreloss"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

const (
	// livenessTimeout bounds one check: a new connection and two answers over round trips between regions.
	livenessTimeout = 250 * time.Millisecond
	// acceptTimeout is the time from the first connection attempt of a check after which a server that has
	// accepted none is unreachable. The last attempt has a round trip between regions and some time more.
	acceptTimeout = 160 * time.Millisecond
	// acceptAttempts is the number of connection attempts of a check, acceptStagger the time between two:
	// packets may be lost, and a lost SYN is retransmitted only after a second.
	acceptAttempts = 3
	acceptStagger  = 30 * time.Millisecond
	// findingLifetime is how long the finding of an ended check is valid.
	findingLifetime = 200 * time.Millisecond
)

// livenessChecker finds out over new connections whether the processes of silent servers run. There is one check of a
// server at a time, which all streams share that are silent there. It is safe for concurrent use.
type livenessChecker struct {
	f  *Forwarder
	mu sync.Mutex
	// checks holds the running checks and those whose finding is valid, by the id of the server.
	checks  map[string]*livenessCheck
	centres *centreMonitor
}

// livenessCheck is one check of a server: connection attempts first, then questions over the connection if a stream needs
// the answers.
type livenessCheck struct {
	started time.Time
	// connected is closed when it is known whether the machine accepts connections; conn is the connection then, nil for none.
	connected chan struct{}
	conn      *upstream.Conn
	// asking begins the questions once. done is closed when finding is set.
	asking  sync.Once
	done    chan struct{}
	finding livenessFinding
	// unused is set when the check ended before a stream asked.
	unused bool
	// neighbours are the checks of other servers of the data centre that it began.
	neighbours []*livenessCheck
}

func newLivenessChecker(f *Forwarder) *livenessChecker {
	return &livenessChecker{f: f, checks: make(map[string]*livenessCheck), centres: newCentreMonitor(f)}
}

// check returns what a check of a server that began after a time has found. It waits for livenessTimeout at most,
// twice that when another check runs that began before. The finding is undecided when the context ends first.
func (c *livenessChecker) check(ctx context.Context, server *directory.Server, after time.Time) livenessFinding {
	for {
		check := c.join(server, acceptTimeout)
		select {
		case <-ctx.Done():
			return livenessFinding{}
		case <-check.connected:
		}
		if check.started.After(after) {
			check.asking.Do(func() { go c.askOnce(server, check) })
			select {
			case <-ctx.Done():
				return livenessFinding{}
			case <-check.done:
			}
			if !check.unused {
				c.awaitNeighbours(ctx, check)
				return check.finding
			}
		}
		c.drop(server, check)
	}
}

// join returns the running or valid check of a server; it starts one when there is none, in which connection attempts
// last for a time at most. Only with acceptTimeout others are checked as well.
func (c *livenessChecker) join(server *directory.Server, timeout time.Duration) *livenessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check := c.checks[server.ID]; check != nil {
		return check
	}
	check := &livenessCheck{started: time.Now(), done: make(chan struct{}), connected: make(chan struct{})}
	c.checks[server.ID] = check
	go func() {
		defer func() {
			close(check.connected)
			time.AfterFunc(findingLifetime, func() { c.end(server, check) })
		}()
		if timeout == acceptTimeout {
			others := time.AfterFunc(neighbourDelay, func() { c.checkNeighbours(server, check) })
			defer others.Stop()
		}
		c.f.guard.Run("check", func() { c.reach(server, check, timeout) })
	}()
	return check
}

// reach opens the connection of a check and records whether the machine accepts it.
func (c *livenessChecker) reach(server *directory.Server, check *livenessCheck, timeout time.Duration) {
	check.conn, check.finding = c.connect(server, check.started, timeout)
	switch {
	case check.conn != nil:
		c.centres.checked(check.started, server, centreloss.Reached)
	case check.finding.liveness == livenessUnreachable:
		c.centres.checked(check.started, server, centreloss.Unanswered)
	case check.finding.liveness == livenessRefused:
		c.centres.checked(check.started, server, centreloss.Refused)
	}
}

// askOnce asks what a stream needs to know over the connection of a check.
func (c *livenessChecker) askOnce(server *directory.Server, check *livenessCheck) {
	defer close(check.done)
	c.f.guard.Run("check", func() {
		switch {
		case check.conn == nil:
		case c.f.selector.refusing(server) > 0:
			check.conn.Close()
			check.finding = livenessFinding{liveness: livenessSilent}
		default:
			c.f.meters.count("probes")
			check.finding = c.ask(check.conn, server, check.started, time.Now().Add(livenessTimeout-acceptTimeout/2))
		}
	})
}

// end removes a check and closes its connection if no stream has needed it.
func (c *livenessChecker) end(server *directory.Server, check *livenessCheck) {
	c.drop(server, check)
	check.asking.Do(func() {
		check.unused = true
		if check.conn != nil {
			check.conn.Close()
		}
		close(check.done)
	})
}

// drop removes a check unless another one has replaced it.
func (c *livenessChecker) drop(server *directory.Server, check *livenessCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checks[server.ID] == check {
		delete(c.checks, server.ID)
	}
}

// connection is the outcome of one connection attempt.
type connection struct {
	conn *upstream.Conn
	err  error
}

// connect opens a connection to a server within a time; without one, the finding tells why.
func (c *livenessChecker) connect(server *directory.Server, started time.Time, timeout time.Duration) (*upstream.Conn, livenessFinding) {
	end := started.Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel() // Ends the other attempts.
	outcomes := make(chan connection)
	next := time.NewTimer(0)
	defer next.Stop()
	unanswered := livenessUnreachable
	for attempts := 0; ; {
		select {
		case <-next.C:
			go c.dial(ctx, server, outcomes)
			if attempts++; attempts < acceptAttempts {
				next.Reset(acceptStagger)
			}
		case outcome := <-outcomes:
			switch {
			case outcome.err == nil:
				return outcome.conn, livenessFinding{}
			case errors.Is(outcome.err, syscall.ECONNREFUSED):
				return nil, livenessFinding{liveness: livenessRefused}
			case !isUnanswered(outcome.err):
				unanswered = livenessUndecided // This machine failed to send an attempt.
			}
		case <-ctx.Done():
			if attempts < acceptAttempts || time.Since(end) >= maxWakeDelay {
				unanswered = livenessUndecided // This process did not run.
			}
			return nil, livenessFinding{liveness: unanswered}
		}
	}
}

// dial makes one connection attempt.
func (c *livenessChecker) dial(ctx context.Context, server *directory.Server, outcomes chan<- connection) {
	conn, err := c.f.pool.Open(ctx, server.ID, server.Address, connectTimeout, false)
	select {
	case outcomes <- connection{conn: conn, err: err}:
	case <-ctx.Done():
		if err == nil {
			conn.Close()
		}
	}
}

// isUnanswered reports whether a connection attempt ended without an answer of the server's machine.
func isUnanswered(err error) bool {
	return upstream.IsTimeout(err) || errors.Is(err, upstream.ErrNoTime) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// ask requests the load report and the id of the server over a connection that was opened after a time.
func (c *livenessChecker) ask(conn *upstream.Conn, server *directory.Server, opened, deadline time.Time) livenessFinding {
	f := c.f
	memory := answerMemory{budget: &f.answers}
	defer memory.close()
	f.selector.recordUnchosenSend(server)
	response, body, err := roundTrip(conn, f.protocol.LoadRequest(server.Address), maxReportBytes, deadline, memory.part())
	if err != nil {
		conn.Close()
		return livenessFinding{liveness: livenessSilent}
	}
	f.readAnswer(server, response)
	finding := livenessFinding{liveness: livenessRuns}
	if response.Status == 200 {
		if finding.report, err = f.protocol.ParseReport(body); err != nil {
			event.Log(f.logger, event.ReportInvalid).Str("server", server.ID).Err(err).Send()
		}
		f.recordReport(server, &finding.report)
	}
	service := f.service(server.Service)
	if service == nil || service.HealthPath == "" || f.selector.refusing(server) > 0 {
		f.pool.Put(server.ID, conn, response)
		return finding
	}
	f.selector.recordUnchosenSend(server)
	response, _, err = roundTrip(conn, f.protocol.IdentityRequest(server.Address, service.HealthPath), maxReportBytes, deadline, memory.part())
	if err != nil {
		conn.Close()
		return finding
	}
	if id := f.protocol.ParseAnswer(response).Server; response.Status == 200 && id != "" {
		if id != server.ID {
			conn.Close()
			f.adopter.handleReplacement(server, id)
			return livenessFinding{liveness: livenessOtherProcess}
		}
		f.selector.recordRun(server.ID, opened)
	}
	f.pool.Put(server.ID, conn, response)
	return finding
}

// serverLiveness is what a check shows of a server's process.
type serverLiveness int

const (
	// livenessUndecided means that the check shows nothing.
	livenessUndecided serverLiveness = iota
	// livenessRuns means that the server answers.
	livenessRuns
	// livenessSilent means that its machine accepts connections and the process does not answer: it may go on.
	livenessSilent
	// livenessRefused means that nothing listens at its address.
	livenessRefused
	// livenessOtherProcess means that another process answers at its address.
	livenessOtherProcess
	// livenessUnreachable means that its machine does not answer connection attempts.
	livenessUnreachable
)

// livenessFinding is the result of a check.
type livenessFinding struct {
	liveness serverLiveness
	// report is the load report of a server that runs.
	report message.Report
}
