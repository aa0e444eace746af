package claims

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// Owner commits the claim operations of a shard.
type Owner interface {
	// Operate commits one operation.
	Operate(ctx context.Context, shard claim.Shard, operation claim.Operation) (claim.Answer, error)
}

// Handle commits an encoded operation from another instance and returns the encoded answer.
// index is the shard's index. Errors: PeerMessage for a malformed operation, and the owner's.
func Handle(ctx context.Context, owner Owner, index uint32, payload []byte) ([]byte, error) {
	shard, operation, err := decodeOperation(index, payload)
	if err != nil {
		return nil, err
	}
	answer, err := owner.Operate(ctx, shard, operation)
	if err != nil {
		return nil, err
	}
	return encode(answerMessage{Verdict: answer.Result, Outcome: answer.Outcome})
}
