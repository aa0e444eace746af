package guard

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// localPeer implements Peers with one guard in the same process.
type localPeer struct{ guard *Guard }

func (p localPeer) Addresses() []string { return []string{"peer"} }

func (p localPeer) Suspicions(ctx context.Context, _ string, digest []byte) ([]byte, error) {
	return p.guard.HandleDigest(ctx, digest)
}

func TestQuarantineAndReleaseReachAPeer(t *testing.T) {
	is := is.New(t)
	const poison serving.Fingerprint = 7
	settings := quarantine.DefaultSettings()
	settings.JoinWindow, settings.PropagationDelay, settings.SimultaneousWindow = 0, 0, 0
	first := New("first", settings, zerolog.Nop())
	second := New("second", settings, zerolog.Nop())
	for _, server := range []string{"a", "b", "c"} {
		first.Started(poison, "request", server)
		first.Reached("request", server)
		first.ServerFailed(server)
	}
	_, err := first.Check(poison, "resend")
	is.True(fault.HasCode(err, fault.RequestQuarantined))
	is.True(strings.Contains(err.Error(), FormatFingerprint(poison)))
	first.exchangeOnce(t.Context(), localPeer{second})
	_, err = second.Check(poison, "resend")
	is.True(fault.HasCode(err, fault.RequestQuarantined))
	is.True(second.Release(poison))
	first.exchangeOnce(t.Context(), localPeer{second})
	_, err = first.Check(poison, "resend")
	is.NoErr(err)
	_, err = second.HandleDigest(t.Context(), []byte("{"))
	is.True(fault.HasCode(err, fault.PeerMessage))
}
