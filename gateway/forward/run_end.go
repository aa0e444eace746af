package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// crashTime is the time after the first event of a stream in which the end of its server is put down to
// its request at once. A later one may have another cause, as many other streams run there: it counts apart (late_crash.go).
const crashTime = 500 * time.Millisecond

// crashProbeWait is how long a stream waits until it is known whether its server has crashed, before it goes to another
// one: a round trip between regions takes 60 ms.
const crashProbeWait = 100 * time.Millisecond

// recordProgress records a run as one without a crash when it goes on for longer than crashTime.
func (a *streamAttempt) recordProgress(now time.Time) {
	if !a.ranClean && now.Sub(a.firstEventAt) > crashTime {
		a.ranClean = true
		a.run.f.poison.recordCleanRun(a.run.j)
	}
}

// recordRun records at the end of an attempt whether the server ran the request to its end, or may have crashed
// under it. In the latter case it waits for crashProbeWait until that is known.
func (a *streamAttempt) recordRun(ctx context.Context, result *streamResult) {
	if result.complete {
		a.run.f.poison.recordCompleteStream(a.run.j)
	}
	if result.complete || (result.finalAnswer != nil && !result.finalAnswer.failedAnswer()) {
		if !a.ranClean {
			a.run.f.poison.recordCleanRun(a.run.j)
		}
		return
	}
	if ctx.Err() != nil || !a.mayHaveCrashed(result) {
		return
	}
	if a.ranClean || !a.justBegun() {
		a.run.f.crashes.startLate(a.run.j, a.server)
		return
	}
	select {
	case <-a.run.f.crashes.start(a.run.j, a.server):
	case <-time.After(crashProbeWait):
	case <-ctx.Done():
	}
}

// justBegun reports whether the server has not sent events for longer than crashTime.
func (a *streamAttempt) justBegun() bool {
	return a.awaitsFirstEvent() || time.Since(a.firstEventAt) <= crashTime
}

// mayHaveCrashed reports whether the attempt ended because the server's connection broke.
func (a *streamAttempt) mayHaveCrashed(result *streamResult) bool {
	return !result.notRun && result.code == fault.UpstreamBroken && !errors.Is(result.err, errClientWrite) && mayBeCrash(result.err)
}

// recordCallRun records whether a server ran a call to its end, or may have crashed under it.
func (f *Forwarder) recordCallRun(j *job, result *callResult) {
	switch {
	case result.usable() && !result.failedAnswer():
		f.poison.recordCleanRun(j)
	case result.code == fault.UpstreamBroken && !result.notRun && mayBeCrash(result.err):
		f.crashes.start(j, result.server)
	}
}
