package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/event"
)

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
// it was found: in the records of this instance or its peers, because the service has a single
// version, or by the engines that keep the prompt.
func (r *streamRun) findVersion(ctx context.Context) (version, source string) {
	if version, known := r.recordedVersion(ctx); known {
		return version, "record"
	}
	versions := make(map[string]bool)
	for _, server := range r.f.directory.Snapshot().ForService(r.service.Name) {
		if server.SoftwareVersion != "" {
			versions[server.SoftwareVersion] = true
			version = server.SoftwareVersion
		}
	}
	if len(versions) == 1 {
		return version, "single"
	}
	if len(versions) > 1 && r.size.PromptKey != "" && r.service.Engine != nil {
		if version := r.f.prompts.versionOf(ctx, r.service, r.size.PromptKey, r.j.request.PromptKeyTokens); version != "" {
			return version, "prompt"
		}
	}
	return "", "unknown"
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
