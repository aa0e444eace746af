package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// loadStreamsTimeout bounds the reading of records from the store.
const loadStreamsTimeout = 500 * time.Millisecond

// askPeersTimeout bounds the wait for the answers of peers: a round trip between regions takes 60 ms.
const askPeersTimeout = 150 * time.Millisecond

// bindResumed binds a stream that its client resumes to the software version that began it, and
// reports whether that is known.
func (r *streamRun) bindResumed(ctx context.Context) bool {
	if r.j.request.Position == 0 && r.j.request.FirstAttempt == "" {
		return true
	}
	version, source := r.findVersion(ctx)
	event.Log(r.f.logger, event.StreamVersionFound).Str("request", r.j.request.ID).Str("first_attempt", r.j.request.FirstAttempt).
		Str("software_version", version).Str("source", source).Dur("after_ms", time.Since(r.j.exchange.Received)).Send()
	r.f.meters.count("streams.version." + source)
	if version == "" {
		return false
	}
	r.binding = versionBinding{bound: true, version: version}
	return true
}

// findVersion returns the software version that began a stream, empty when unknown, and where
// it was found: in the records of this instance or its peers, in those in the store, because the
// service has a single version, or by the engines that keep the prompt.
func (r *streamRun) findVersion(ctx context.Context) (version, source string) {
	if version, known := r.recordedVersion(ctx); known {
		return version, "record"
	}
	version, known, severalRecently := r.archivedVersion(ctx)
	if known {
		return version, "archive"
	}
	// A client that doesn't name its first attempt is not looked up anywhere, so that waiting tells nothing.
	trusted := r.f.untilListTrusted() == 0 || r.j.request.FirstAttempt == ""
	if version = r.f.onlyVersion(r.service.Name); version != "" && !severalRecently && trusted {
		return version, "single"
	}
	if r.size.PromptKey != "" && r.service.Engine != nil {
		if version := r.f.prompts.versionOf(ctx, r.service, r.size.PromptKey, r.j.request.PromptKeyTokens); version != "" {
			return version, "prompt"
		}
	}
	return "", "unknown"
}

// onlyVersion returns the software version of all servers of a service, empty when there are several
// or one is unknown.
func (f *Forwarder) onlyVersion(service string) string {
	version := ""
	for _, server := range f.directory.Snapshot().ForService(service) {
		if server.SoftwareVersion == "" || (version != "" && server.SoftwareVersion != version) {
			return ""
		}
		version = server.SoftwareVersion
	}
	return version
}

// listTrustDelay is the time after the start in which the list of servers may be some seconds old, and
// servers may have left that began streams before the start.
const listTrustDelay = 4 * time.Second

// untilListTrusted returns when the list of servers shows which versions served lately, 0 if it does.
func (f *Forwarder) untilListTrusted() time.Duration {
	return max(0, listTrustDelay-time.Since(f.selector.started))
}

// recordedVersion returns the recorded version of a resumed stream. It asks peers when this instance
// has no record; meanwhile the engines are asked for the prompt.
func (r *streamRun) recordedVersion(ctx context.Context) (version string, known bool) {
	if r.j.request.FirstAttempt == "" {
		return "", false
	}
	key := streamversion.KeyOf(r.j.request.FirstAttempt)
	if version, known, _ := r.f.versions.lookUp(key); known {
		return version, true
	}
	if r.size.PromptKey != "" && r.service.Engine != nil {
		r.f.prompts.sweep(r.service)
	}
	if !r.f.askPeers(key) {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	return r.f.versions.await(ctx, key)
}

// archivedVersion returns the version that the records in the store state. several reports
// whether several versions served in the last minutes.
func (r *streamRun) archivedVersion(ctx context.Context) (version string, known, several bool) {
	ctx, cancel := context.WithTimeout(ctx, loadStreamsTimeout)
	defer cancel()
	several, err := r.f.loadStreams(ctx)
	if err != nil || r.j.request.FirstAttempt == "" {
		return "", false, several
	}
	version, known, _ = r.f.versions.lookUp(streamversion.KeyOf(r.j.request.FirstAttempt))
	return version, known, several
}

// recordVersion binds a stream to the version of the server that began it, and records the version
// for this instance and its peers. A stream that runs for long is recorded again.
func (r *streamRun) recordVersion(a *streamAttempt) {
	if !r.binding.bound {
		r.binding = bindTo(a.server)
	}
	now := time.Now()
	if r.binding.version == "" || now.Sub(r.recordedAt) < streamversion.Lifetime/2 {
		return
	}
	r.recordedAt = now
	first := r.j.request.FirstAttempt
	if first == "" {
		first = r.j.request.ID
	}
	record := streamversion.Record{Key: streamversion.KeyOf(first), Version: r.binding.version}
	r.f.versions.put(record)
	r.f.onStreamBegun(record)
}
