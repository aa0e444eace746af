package claims_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/control/claims"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// home answers with the outcome of an earlier attempt and keeps what it got.
type home struct {
	shard     claim.Shard
	operation claim.Operation
}

func (h *home) Operate(_ context.Context, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	h.shard, h.operation = shard, operation
	return claim.Answer{Result: claim.ResultOutcome, Outcome: claim.Outcome{Status: 201, ContentType: "text/plain", Body: []byte("ok")}}, nil
}

// direct hands payloads to a home without a network.
type direct struct{ home *home }

func (d direct) CommitClaims(ctx context.Context, _ string, shard uint32, payload []byte) ([]byte, error) {
	return claims.Handle(ctx, d.home, shard, payload)
}

func TestOperationsArriveUnchanged(t *testing.T) {
	is := is.New(t)
	target := &home{}
	forwarder := claims.NewForwarder(direct{target}, func(instance string) (string, bool) { return instance, instance == "known" })
	operation := claim.Operation{
		ID:        7,
		Kind:      claim.Record,
		Key:       claim.KeyOf("account", "key"),
		Attempt:   1 << 63,
		Hash:      claim.BodyHashOf("s", "o", []byte("body")),
		Retention: time.Hour,
		Timeout:   time.Second,
		Outcome:   claim.Outcome{Status: 200, Body: []byte{0, 255}},
	}
	shard := claim.ShardOf("region", operation.Key)
	answer, err := forwarder.Forward(context.Background(), "known", shard, operation)
	is.NoErr(err)
	is.Equal(answer.ID, operation.ID)
	is.Equal(answer.Result, claim.ResultOutcome)
	is.Equal(string(answer.Outcome.Body), "ok")
	is.Equal(target.shard, shard)
	sent := operation
	sent.ID = 0
	is.Equal(target.operation, sent)
	_, err = forwarder.Forward(context.Background(), "unknown", shard, operation)
	is.True(fault.HasCode(err, fault.PeerUnreachable))
}

func TestMalformedOperationsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, payload := range []string{``, `{`, `{"key":"AA=="}`, `{"key":7}`} {
		_, err := claims.Handle(context.Background(), &home{}, 0, []byte(payload))
		is.True(fault.HasCode(err, fault.PeerMessage))
	}
	_, err := claims.Handle(context.Background(), &home{}, claim.ShardsPerRegion, []byte(`{"key":"AAAAAAAAAAAAAAAAAAAAAA=="}`))
	is.True(fault.HasCode(err, fault.PeerMessage))
}
