package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// crashDetector finds out whether servers have ended whose connections broke during a request: one that still
// listens has not. It is safe for concurrent use.
type crashDetector struct {
	f  *Forwarder
	mu sync.Mutex
	// probed holds the running probes, by the id of the server.
	probed map[string]*serverProbe
	// failures holds the servers that failed lately, as this instance or a peer has found, by their ids.
	failures map[string]serverFailure
}

// serverProbe is the probe of one server, with the runs that broke there.
type serverProbe struct {
	broken []brokenRun
	done   chan struct{}
}

// brokenRun is a run of a request whose connection broke at a time.
type brokenRun struct {
	request string
	keys    poison.Run
	at      time.Time
	// late says that the connection broke late in the answer.
	late bool
}

// maxCrashProbes is the number of connection attempts: the first may time out because a packet is lost.
const maxCrashProbes = 2

func newCrashDetector(f *Forwarder) *crashDetector {
	return &crashDetector{f: f, probed: make(map[string]*serverProbe), failures: make(map[string]serverFailure)}
}

// crashErrors are the errors with which a run may end because its server ended.
var crashErrors = []error{syscall.ECONNRESET, syscall.EPIPE, io.ErrUnexpectedEOF, io.EOF, errPartialEvent, errNoEvents}

// mayBeCrash reports whether a run may have ended with this error because its server ended.
func mayBeCrash(err error) bool {
	return slices.ContainsFunc(crashErrors, func(crash error) bool { return errors.Is(err, crash) })
}

// start probes a server whose connection broke while it ran a request, and records a crash if it ended. The
// channel is closed when that is known.
func (d *crashDetector) start(j *job, server *directory.Server) <-chan struct{} {
	return d.probe(server, brokenRun{request: j.request.ID, keys: j.run, at: time.Now()})
}

// startLate is start for a run that broke late in its answer.
func (d *crashDetector) startLate(j *job, server *directory.Server) {
	d.probe(server, brokenRun{request: j.request.ID, keys: j.late, at: time.Now(), late: true})
}

func (d *crashDetector) probe(server *directory.Server, broken brokenRun) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	probe := d.probed[server.ID]
	if probe == nil {
		probe = &serverProbe{done: make(chan struct{})}
		d.probed[server.ID] = probe
		go d.f.guard.Run("check", func() { d.run(server, probe) })
	}
	probe.broken = append(probe.broken, broken)
	return probe.done
}

func (d *crashDetector) run(server *directory.Server, probe *serverProbe) {
	defer close(probe.done)
	refused := d.refuses(server)
	d.mu.Lock()
	delete(d.probed, server.ID)
	d.mu.Unlock()
	if refused == nil {
		return
	}
	refusedAt := time.Now()
	d.f.recordUnreachable(server, refused)
	if !d.f.selector.reach.reachesServersSince(refusedAt) {
		return // The links of this instance may have broken, not the server.
	}
	var late []brokenRun
	for _, run := range probe.broken {
		if run.late {
			late = append(late, run)
			continue
		}
		d.f.poison.recordCrash(run, server)
	}
	if len(late) > 0 {
		go d.f.guard.Run("check", func() { d.recordLate(server, late) })
	}
}

// refuses returns the error of a connection attempt that the server's address refused; nil when it was
// not refused.
func (d *crashDetector) refuses(server *directory.Server) error {
	for range maxCrashProbes {
		conn, err := d.f.pool.Open(context.Background(), server.ID, server.Address, connectTimeout, false)
		if err == nil {
			conn.Close()
			return nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	return nil
}
