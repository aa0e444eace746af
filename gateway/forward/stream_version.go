package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/event"
)

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
// it was found: in a record, because the service has a single version, or by the engines that keep
// the prompt.
func (r *streamRun) findVersion(ctx context.Context) (version, source string) {
	if r.j.origin.source != "" {
		return r.j.origin.Version, r.j.origin.source
	}
	if r.f.state.StreamServiceVaries(r.j.route) {
		return "", "unknown" // Another service may have begun the stream.
	}
	// A client that doesn't name its first attempt is not looked up anywhere, so that waiting tells nothing.
	trusted := r.f.untilListTrusted() == 0 && r.j.origin.inStep || r.j.request.FirstAttempt == ""
	if version = r.f.onlyVersion(r.service.Name); version != "" && !r.j.origin.severalRecently && trusted {
		return version, "single"
	}
	// The engines of a version that has left can't tell that they have read the prompt.
	if r.size.PromptKey != "" && r.service.Engine != nil && !r.f.versionLeft(r.service.Name) {
		if version := r.f.prompts.versionOf(ctx, r.service, r.size.PromptKey, r.j.request.PromptKeyTokens); version != "" {
			return version, "prompt"
		}
	}
	return "", "unknown"
}

// onlyVersion returns the software version of all servers of a service, empty when there are several,
// one is unknown, or another may have left lately.
func (f *Forwarder) onlyVersion(service string) string {
	version := ""
	for _, server := range f.directory.Snapshot().ForService(service) {
		if server.SoftwareVersion == "" || (version != "" && server.SoftwareVersion != version) {
			return ""
		}
		version = server.SoftwareVersion
	}
	if other, known := f.otherVersion(streamversion.Origin{Service: service, Version: version}); other || !known {
		return ""
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
	origin := streamversion.Origin{Service: r.service.Name, Version: r.binding.version}
	record := streamversion.Record{Key: streamversion.KeyOf(first), Origin: origin}
	r.f.versions.put(record)
	r.f.onStreamBegun(record)
}
