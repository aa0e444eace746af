package gossip_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

func ring(t rapid.TB, active string) *peerauth.KeyRing {
	keys := settings.KeyRing{Active: active, Keys: []settings.Key{
		{ID: "k1", Secret: strings.Repeat("11", 32)},
		{ID: "k2", Secret: strings.Repeat("22", 32)},
	}}
	made, err := peerauth.NewKeyRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func drawRecord(t *rapid.T) membership.Record {
	address := rapid.SampledFrom([]string{"", "10.1.2.3:7401", "[2001:db8:1:2:3:4:5:6]:65535"})
	return membership.Record{
		Peer: settings.Peer{
			Instance:   rapid.StringMatching(`[a-z0-9-]{1,30}`).Draw(t, "instance"),
			DataCentre: rapid.StringMatching(`[a-z0-9-]{0,20}`).Draw(t, "data centre"),
			Region:     rapid.StringMatching(`[a-z0-9-]{0,20}`).Draw(t, "region"),
			Gossip:     address.Draw(t, "gossip"),
			Peers:      address.Draw(t, "peers"),
			Callers:    address.Draw(t, "callers"),
			Operators:  address.Draw(t, "operators"),
		},
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Health:      membership.Health(rapid.IntRange(0, 2).Draw(t, "health")),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
		Revision:    rapid.Uint64().Draw(t, "revision"),
		Age:         time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "age")) * time.Millisecond,
	}
}

func drawDigest(t *rapid.T) membership.Digest {
	digest := membership.Digest{
		Kind:          membership.DigestKind(rapid.IntRange(1, 3).Draw(t, "kind")),
		From:          drawRecord(t),
		To:            rapid.StringMatching(`[a-z0-9-]{1,30}`).Draw(t, "to"),
		Sequence:      rapid.Uint64().Draw(t, "sequence"),
		ProbeSequence: rapid.Uint64().Draw(t, "answers"),
	}
	if rapid.Bool().Draw(t, "record") {
		digest.Records = append(digest.Records, drawRecord(t))
	}
	if rapid.Bool().Draw(t, "notice") {
		digest.Notices = append(digest.Notices, membership.Notice{
			NoticeKey: membership.NoticeKey{Kind: membership.NoticeQuarantine, Name: rapid.StringMatching(`[a-f0-9]{1,30}`).Draw(t, "name")},
			Stamp:     rapid.Uint64().Draw(t, "stamp"),
			Origin:    rapid.StringMatching(`[a-z]{0,30}`).Draw(t, "origin"),
			Expires:   time.UnixMilli(rapid.Int64Range(0, 1<<50).Draw(t, "expires")).UTC(),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
			Local:     rapid.Bool().Draw(t, "local"),
			Reason:    rapid.StringMatching(`[a-z ]{0,60}`).Draw(t, "reason"),
		})
	}
	if rapid.Bool().Draw(t, "report") {
		digest.Reports = append(digest.Reports, membership.Report{
			Source: "a", Summary: true, Version: rapid.Uint64().Draw(t, "version"), Epoch: rapid.Uint64().Draw(t, "epoch"),
			Instances: rapid.Uint32().Draw(t, "instances"), LowestRevision: rapid.Uint64().Draw(t, "lowest"),
			Demand: []membership.Demand{{Account: 1, Requests: rapid.Uint32().Draw(t, "requests"), Tokens: rapid.Uint32().Draw(t, "tokens")}},
		})
	}
	return digest
}

func TestDigestsKeepTheirContentAndSize(t *testing.T) {
	codec := gossip.NewCodec(ring(t, "k1"))
	rotated := gossip.NewCodec(ring(t, "k2"))
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		digest := drawDigest(t)
		datagram, err := codec.Encode(digest)
		is.NoErr(err)
		is.True(len(datagram) <= digest.Size()) // the decisions rely on the bound
		decoded, err := rotated.Decode(datagram)
		is.NoErr(err) // another active key
		is.Equal(decoded, digest)
	})
}

func TestDamagedDatagramsAreRefused(t *testing.T) {
	codec := gossip.NewCodec(ring(t, "k1"))
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		datagram, err := codec.Encode(drawDigest(t))
		is.NoErr(err)
		position := rapid.IntRange(0, len(datagram)-1).Draw(t, "position")
		if rapid.Bool().Draw(t, "truncate") {
			datagram = datagram[:position]
		} else {
			datagram[position] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		_, err = codec.Decode(datagram)
		is.True(fault.HasCode(err, fault.PeerMessage) || fault.HasCode(err, fault.PeerUnauthenticated))
	})
}

func TestUnusableAddressIsRefused(t *testing.T) {
	is := is.New(t)
	codec := gossip.NewCodec(ring(t, "k1"))
	digest := membership.Digest{Kind: membership.Update, From: membership.Record{Peer: settings.Peer{Instance: "a", Gossip: "host:1"}}}
	_, err := codec.Encode(digest)
	is.True(fault.HasCode(err, fault.PeerMessage))
}

func FuzzDecode(f *testing.F) {
	codec := gossip.NewCodec(ring(f, "k1"))
	datagram, err := codec.Encode(membership.Digest{Kind: membership.Probe, From: membership.Record{Peer: settings.Peer{Instance: "a"}}, To: "b"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) { _, _ = codec.Decode(datagram) })
}
