// Package guard implements serving.Guard: it finds poison requests, which crash
// the backend servers that run them. It doesn't detect that a server failed: the
// parts that run requests report that.
package guard

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Limits of a request that is held.
const (
	// maxHold is the maximum time for which Check waits until a suspect may run.
	maxHold = 10 * time.Second
	// holdRetryAfter is the RetryAfter of a suspect that was not cleared in time.
	holdRetryAfter = 10 * time.Second
)

// Guard implements serving.Guard with a quarantine.Book.
type Guard struct {
	logger zerolog.Logger
	mu     sync.Mutex
	book   *quarantine.Tracker
	// logged holds the quarantines that were logged.
	logged map[serving.Fingerprint]bool
}

// New returns the guard of an instance.
func New(instance string, settings quarantine.Settings, logger zerolog.Logger) *Guard {
	return &Guard{
		logger: logger,
		book:   quarantine.NewTracker(instance, settings),
		logged: make(map[serving.Fingerprint]bool),
	}
}

// Check implements serving.Guard. It holds a suspect that must not run yet for at
// most maxHold and then returns RequestSuspected with a RetryAfter.
func (g *Guard) Check(fingerprint serving.Fingerprint, requestID string) (isolated bool, err error) {
	end := time.Now().Add(maxHold)
	for {
		verdict := g.check(fingerprint, requestID)
		switch verdict.Action {
		case quarantine.Run:
			return false, nil
		case quarantine.RunIsolated:
			return true, nil
		case quarantine.Refuse:
			reason := "request " + FormatFingerprint(fingerprint) + " crashed " + strings.Join(verdict.FailedServers, ", ")
			return false, fault.New(fault.RequestQuarantined, reason)
		}
		if verdict.NextCheckAt.After(end) {
			reason := "request " + FormatFingerprint(fingerprint) + " may have crashed " + strings.Join(verdict.FailedServers, ", ")
			return false, fault.New(fault.RequestSuspected, reason).WithRetryAfter(holdRetryAfter)
		}
		time.Sleep(time.Until(verdict.NextCheckAt))
	}
}

func (g *Guard) check(fingerprint serving.Fingerprint, requestID string) quarantine.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.book.Check(time.Now(), fingerprint, requestID)
	g.logNew()
	return verdict
}

// Started implements serving.Guard.
func (g *Guard) Started(fingerprint serving.Fingerprint, requestID, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Started(time.Now(), fingerprint, requestID, server)
}

// Reached implements serving.Guard.
func (g *Guard) Reached(requestID, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Reached(time.Now(), requestID, server)
}

// Ended implements serving.Guard.
func (g *Guard) Ended(_ serving.Fingerprint, requestID, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Ended(time.Now(), requestID, server)
}

// ServerFailed implements serving.Guard.
func (g *Guard) ServerFailed(server string) {
	g.mu.Lock()
	suspects := g.book.ServerFailed(time.Now(), server)
	g.mu.Unlock()
	if suspects > 0 {
		event.Log(g.logger, event.RequestSuspected).Str("server", server).Int("requests", suspects).Send()
	}
}

// Release ends a quarantine on an operator's command. It reports whether there
// was one.
func (g *Guard) Release(fingerprint serving.Fingerprint) bool {
	g.mu.Lock()
	released := g.book.Release(time.Now(), fingerprint)
	delete(g.logged, fingerprint)
	g.mu.Unlock()
	if released {
		event.Log(g.logger, event.QuarantineReleased).Str("fingerprint", FormatFingerprint(fingerprint)).Send()
	}
	return released
}

// Quarantines returns the quarantines and releases in force.
func (g *Guard) Quarantines() []quarantine.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Quarantines()
}

// exportDigest returns the digest to send to peers.
func (g *Guard) exportDigest() quarantine.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.book.Tick(now)
	g.logNew()
	return g.book.Export(now)
}

// importDigest imports a peer's digest.
func (g *Guard) importDigest(digest quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Import(time.Now(), digest)
	g.logNew()
}

// logNew logs the quarantines that this instance has not logged before. The
// caller holds the lock.
func (g *Guard) logNew() {
	for _, entry := range g.book.Quarantines() {
		if entry.Released || g.logged[entry.Fingerprint] {
			continue
		}
		g.logged[entry.Fingerprint] = true
		event.Log(g.logger, event.RequestQuarantined).
			Str("fingerprint", FormatFingerprint(entry.Fingerprint)).
			Strs("servers", entry.Servers).
			Send()
	}
}

// FormatFingerprint returns a fingerprint as operators write it.
func FormatFingerprint(fingerprint serving.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}
