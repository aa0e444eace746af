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

// onePeer is a peer in the same process.
type onePeer struct{ guard *Guard }

func (p onePeer) Addresses() []string { return []string{"peer"} }

func (p onePeer) Suspicions(ctx context.Context, _ string, digest []byte) ([]byte, error) {
	return p.guard.HandleDigest(ctx, digest)
}

func TestQuarantineAndReleaseReachAPeer(t *testing.T) {
	is := is.New(t)
	const killer serving.Fingerprint = 7
	settings := quarantine.DefaultSettings()
	settings.JoinWindow, settings.PropagationDelay, settings.SimultaneousWindow = 0, 0, 0
	first := New("first", settings, zerolog.Nop())
	second := New("second", settings, zerolog.Nop())
	for _, server := range []string{"a", "b", "c"} {
		first.Started(killer, "request", server)
		first.ServerFailed(server)
	}
	_, err := first.Check(killer, "resend")
	is.True(fault.HasCode(err, fault.RequestQuarantined))
	is.True(strings.Contains(err.Error(), FormatFingerprint(killer)))
	first.exchangeOnce(t.Context(), onePeer{second})
	_, err = second.Check(killer, "resend")
	is.True(fault.HasCode(err, fault.RequestQuarantined))
	is.True(second.Release(killer))
	first.exchangeOnce(t.Context(), onePeer{second})
	_, err = first.Check(killer, "resend")
	is.NoErr(err)
	_, err = second.HandleDigest(t.Context(), []byte("{"))
	is.True(fault.HasCode(err, fault.PeerMessage))
}
