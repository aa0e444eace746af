package claims

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// Home commits claim operations.
type Owner interface {
	// Operate commits one operation.
	Operate(ctx context.Context, shard claim.Shard, operation claim.Operation) (claim.Answer, error)
}

// Handle commits an operation that another instance sent and returns the
// encoded answer. Errors are PeerMessage for a malformed operation and those of
// the home.
func Handle(ctx context.Context, home Owner, index uint32, payload []byte) ([]byte, error) {
	shard, operation, err := decodeOperation(index, payload)
	if err != nil {
		return nil, err
	}
	answer, err := home.Operate(ctx, shard, operation)
	if err != nil {
		return nil, err
	}
	return encode(answerMessage{Verdict: answer.Result, Outcome: answer.Outcome})
}
